#include "soak/planned_work.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    /** The bounds grace-s and config-apply-ms of the soak's settings. */
    constexpr duration grace = 6s;
    constexpr duration applyTime = 2s;
    constexpr duration margin = 1s;
    constexpr duration latestSending = 3s;

} // namespace

void planned_work::noteConfigurationSent(time_point at)
{
    if (at > m_changesEnd)
        m_changesBegin = at;
    m_changesEnd = time_point::max();
}

void planned_work::noteConfigurationAcknowledged(time_point at) { m_changesEnd = at + applyTime + margin; }

bool planned_work::isAround(int entry, time_point sentAt, time_point endedAt) const
{
    return isAroundStop(entry, sentAt, endedAt) || isAroundReload(entry, sentAt, endedAt)
        || (endedAt >= m_changesBegin && sentAt <= m_changesEnd);
}

bool planned_work::isEndOfStop(int entry, time_point sentAt, time_point endedAt) const
{
    const auto stop = m_stops.find(entry);
    return stop != m_stops.end() && sentAt <= stop->second + latestSending && endedAt >= stop->second + grace * 5 / 6
        && endedAt <= stop->second + grace;
}

bool planned_work::isAroundStop(int entry, time_point sentAt, time_point endedAt) const
{
    const auto stop = m_stops.find(entry);
    return stop != m_stops.end() && endedAt >= stop->second && sentAt <= stop->second + grace + margin;
}

bool planned_work::isAroundReload(int entry, time_point sentAt, time_point endedAt) const
{
    const auto reload = m_reloads.find(entry);
    return reload != m_reloads.end() && endedAt >= reload->second && sentAt <= reload->second + applyTime;
}

} // namespace plantainlatch
