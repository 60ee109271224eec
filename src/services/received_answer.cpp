#include "services/received_answer.h"

#include <algorithm>
#include <utility>

#include <event2/buffer.h>

#include "runtime/allocator.h"

namespace plantainlatch {

namespace {

    /** The library collects a chunk in small blocks until the chunk is complete; the blocks of a larger one than this
     * are returned to the operating system, as they lie between others and would stay with the process. */
    constexpr std::size_t largeChunk = 1024 * 1024;
    constexpr std::size_t movedPart = 64 * 1024;

} // namespace

received_answer::received_answer(buffer_budget& budget, byte_count maximumBody, std::function<void()> giveUp)
    : m_maximumBody(maximumBody)
    , m_lease(budget, buffer_use::UpstreamAnswer, std::move(giveUp))
{
}

void received_answer::begin(bool head, std::size_t maximumHeadBytes) { m_validator.emplace(head, maximumHeadBytes); }

void received_answer::release()
{
    m_received = 0;
    std::string().swap(m_body);
    m_lease.release();
}

std::size_t received_answer::statedBody() const
{
    return std::min(m_validator->statedLength().value_or(0), m_maximumBody.value());
}

bool received_answer::hold()
{
    const std::size_t stated = statedBody();
    const std::size_t missing = stated - std::min<std::size_t>(stated, m_validator->bodyBytes());
    return m_lease.resize(m_received + missing, true);
}

void received_answer::takeBody(evbuffer* from)
{
    const std::size_t size = evbuffer_get_length(from);
    const std::size_t former = m_body.size();
    if (former + size > m_body.capacity())
        m_body.reserve(std::max({ former + size, statedBody(), 2 * m_body.capacity() }));
    m_body.resize(former + size);
    // In parts, each of which the buffer frees, so that there are never two whole copies.
    for (std::size_t moved = 0; moved < size;) {
        const std::size_t part = std::min(movedPart, size - moved);
        moved += static_cast<std::size_t>(evbuffer_remove(from, m_body.data() + former + moved, part));
    }
    if (size >= largeChunk)
        releaseUnusedPages();
}

} // namespace plantainlatch
