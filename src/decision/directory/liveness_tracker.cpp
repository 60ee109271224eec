#include "decision/directory/liveness_tracker.h"

#include <algorithm>

#include "core/internal_assert.h"

namespace plantainlatch {

void liveness_tracker::note(const upstream_id& id, upstream_generation generation, time_point now)
{
    sighting& last = m_sightings[id];
    if (generation < last.generation)
        return;
    last = { generation, now };
    if (m_sightings.size() > maximumTracked)
        dropOldest();
    internal_assert(m_sightings.size() <= maximumTracked) << m_sightings.size();
}

void liveness_tracker::dropOldest()
{
    const auto oldest = std::min_element(m_sightings.begin(), m_sightings.end(),
        [](const auto& left, const auto& right) { return left.second.at < right.second.at; });
    m_sightings.erase(oldest);
}

void liveness_tracker::setAllocating(const region_id& region, bool allocating, time_point now)
{
    if (allocating)
        m_allocatingSince.try_emplace(region, now);
    else
        m_allocatingSince.erase(region);
}

std::optional<time_point> liveness_tracker::lastSeen(const upstream_announcement& upstream) const
{
    std::optional<time_point> seen;
    const auto sighted = m_sightings.find(upstream.id);
    if (sighted != m_sightings.end() && sighted->second.generation == upstream.generation)
        seen = sighted->second.at;
    const auto since = m_allocatingSince.find(upstream.region);
    if (since != m_allocatingSince.end())
        seen = std::max(seen.value_or(since->second), since->second);
    return seen;
}

void liveness_tracker::forgetUnknown(const std::map<upstream_id, directory_record>& directory, time_point before)
{
    std::erase_if(
        m_sightings, [&](const auto& entry) { return entry.second.at < before && !directory.contains(entry.first); });
}

} // namespace plantainlatch
