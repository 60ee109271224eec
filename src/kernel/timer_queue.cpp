#include "kernel/timer_queue.h"

namespace plantainlatch {

timer_id timer_queue::add(time_point due, std::function<void()> fire)
{
    ++m_last;
    m_timers.emplace(position(due, m_last), std::move(fire));
    m_dueTimes.emplace(m_last, due);
    return timer_id(m_last);
}

void timer_queue::cancel(timer_id timer)
{
    const auto found = m_dueTimes.find(timer.value());
    if (found == m_dueTimes.end())
        return;
    m_timers.erase(position(found->second, timer.value()));
    m_dueTimes.erase(found);
}

std::optional<time_point> timer_queue::nextDue() const
{
    return m_timers.empty() ? std::nullopt : std::optional(m_timers.begin()->first.first);
}

std::function<void()> timer_queue::takeDue(time_point now, timer_id last)
{
    if (m_timers.empty())
        return {};
    const auto& [due, number] = m_timers.begin()->first;
    if (due > now || number > last.value())
        return {};
    std::function<void()> fire = std::move(m_timers.begin()->second);
    m_dueTimes.erase(number);
    m_timers.erase(m_timers.begin());
    return fire;
}

} // namespace plantainlatch
