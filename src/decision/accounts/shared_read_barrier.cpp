#include "decision/accounts/shared_read_barrier.h"

#include <algorithm>
#include <utility>

namespace plantainlatch {

std::shared_ptr<shared_read_barrier> shared_read_barrier::create(
    const kernel_hooks& hooks, consensus_port& consensus, duration interval, duration timeout, end_handler onEnd)
{
    return std::shared_ptr<shared_read_barrier>(
        new shared_read_barrier(hooks, consensus, interval, timeout, std::move(onEnd)));
}

shared_read_barrier::shared_read_barrier(
    const kernel_hooks& hooks, consensus_port& consensus, duration interval, duration timeout, end_handler onEnd)
    : m_hooks(hooks)
    , m_consensus(consensus)
    , m_interval(interval)
    , m_timeout(timeout)
    , m_onEnd(std::move(onEnd))
    , m_earliestStart(hooks.now())
{
}

std::uint64_t shared_read_barrier::join()
{
    m_joined = true;
    if (!m_active)
        schedule();
    return m_next;
}

void shared_read_barrier::schedule()
{
    m_active = true;
    const duration wait = std::max(duration::zero(), m_earliestStart - m_hooks.now());
    m_hooks.schedule(wait, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->begin();
    });
}

void shared_read_barrier::begin()
{
    m_joined = false;
    ++m_next;
    m_earliestStart = m_hooks.now() + m_interval;
    m_consensus.readBarrier(m_timeout, [weak = weak_from_this()](const absl::Status& status) {
        if (const auto self = weak.lock())
            self->end(status);
    });
}

void shared_read_barrier::end(const absl::Status& status)
{
    m_active = false;
    if (m_joined)
        schedule();
    // Handlers may call join(), so the number of the ended barrier is taken before.
    const std::uint64_t number = m_next - 1;
    m_onEnd(number, status);
}

} // namespace plantainlatch
