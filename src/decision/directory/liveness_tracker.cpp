#include "decision/directory/liveness_tracker.h"

#include <algorithm>

#include "core/internal_assert.h"

namespace plantainlatch {

void liveness_tracker::note(const upstream_id& id, upstream_generation generation, time_point now)
{
    last_announcement& last = m_lastAnnouncements[id];
    if (generation < last.generation)
        return;
    last = { generation, now };
    if (m_lastAnnouncements.size() > maximumTracked)
        dropOldest();
    internal_assert(m_lastAnnouncements.size() <= maximumTracked) << m_lastAnnouncements.size();
}

void liveness_tracker::dropOldest()
{
    const auto oldest = std::min_element(m_lastAnnouncements.begin(), m_lastAnnouncements.end(),
        [](const auto& left, const auto& right) { return left.second.at < right.second.at; });
    m_lastAnnouncements.erase(oldest);
}

void liveness_tracker::setTracked(const region_id& region, bool tracked, time_point now)
{
    if (tracked)
        m_trackedSince.try_emplace(region, now);
    else
        m_trackedSince.erase(region);
}

std::optional<time_point> liveness_tracker::lastSeen(const upstream_announcement& upstream) const
{
    std::optional<time_point> seen;
    const auto found = m_lastAnnouncements.find(upstream.id);
    if (found != m_lastAnnouncements.end() && found->second.generation == upstream.generation)
        seen = found->second.at;
    const auto since = m_trackedSince.find(upstream.region);
    if (since != m_trackedSince.end())
        seen = std::max(seen.value_or(since->second), since->second);
    return seen;
}

void liveness_tracker::forgetUnknown(const std::map<upstream_id, directory_record>& directory, time_point before)
{
    std::erase_if(m_lastAnnouncements,
        [&](const auto& entry) { return entry.second.at < before && !directory.contains(entry.first); });
}

} // namespace plantainlatch
