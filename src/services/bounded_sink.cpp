#include "services/bounded_sink.h"

#include <algorithm>
#include <climits>

#include <poll.h>
#include <unistd.h>

#include "absl/strings/str_cat.h"

namespace plantainlatch {

bounded_sink::bounded_sink(int descriptor, std::size_t capacity)
    : m_descriptor(descriptor)
    , m_capacity(capacity)
{
}

void bounded_sink::sink_it_(const spdlog::details::log_msg& message)
{
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (m_unreportedLost > 0) {
        const std::string report
            = absl::StrCat("{\"level\":\"warning\",\"message\":\"lines-lost\",\"count\":", m_unreportedLost, "}\n");
        if (m_buffer.size() + report.size() + line.size() <= m_capacity) {
            append(report.data(), report.size());
            m_unreportedLost = 0;
        }
    }
    append(line.data(), line.size());
    flush_();
}

void bounded_sink::append(const char* text, std::size_t size)
{
    if (m_buffer.size() + size <= m_capacity) {
        m_buffer.append(text, size);
        return;
    }
    ++m_lost;
    ++m_unreportedLost;
}

void bounded_sink::flush_()
{
    while (!m_buffer.empty()) {
        // A pipe that polls as writable takes up to PIPE_BUF bytes without blocking.
        pollfd ready { m_descriptor, POLLOUT, 0 };
        if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0)
            return;
        const ssize_t written = write(m_descriptor, m_buffer.data(), std::min<std::size_t>(m_buffer.size(), PIPE_BUF));
        if (written <= 0)
            return;
        m_buffer.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace plantainlatch
