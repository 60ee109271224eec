#include "support/paused_runtime.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace plantainlatch {

paused_runtime::paused_runtime(std::uint64_t seed)
    : m_random(seed)
{
}

kernel_hooks paused_runtime::hooks()
{
    kernel_hooks hooks;
    hooks.now = [this] { return m_now; };
    hooks.wallNow
        = [this] { return wall_time(std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch())); };
    hooks.schedule = [this](duration delay, std::function<void()> fire) { return schedule(delay, std::move(fire)); };
    hooks.cancel = [this](timer_id timer) { cancel(timer); };
    hooks.random = [this] { return random(); };
    hooks.log = [this](const log_event& event) { logLines.push_back(event); };
    return hooks;
}

timer_id paused_runtime::schedule(duration delay, std::function<void()> fire)
{
    return m_timers.add(m_now + std::max(delay, duration::zero()), std::move(fire));
}

void paused_runtime::cancel(timer_id timer) { m_timers.cancel(timer); }

bool paused_runtime::step()
{
    const std::optional<time_point> due = m_timers.nextDue();
    if (!due)
        return false;
    m_now = *due;
    m_timers.takeDue(m_now, m_timers.last())();
    return true;
}

void paused_runtime::advance(duration span)
{
    const time_point end = m_now + span;
    while (m_timers.nextDue().value_or(time_point::max()) <= end)
        step();
    m_now = end;
}

} // namespace plantainlatch
