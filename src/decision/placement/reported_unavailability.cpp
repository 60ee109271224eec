#include "decision/placement/reported_unavailability.h"

#include <algorithm>
#include <utility>

namespace plantainlatch {

reported_unavailability::reported_unavailability(std::size_t maximumCount)
    : m_maximumCount(maximumCount)
{
}

bool reported_unavailability::noteDraining(const upstream_id& id, upstream_generation generation, time_point now)
{
    record* item = recordOf(id, generation, now);
    return item != nullptr && !std::exchange(item->draining, true);
}

bool reported_unavailability::isDraining(const upstream_id& id, upstream_generation generation) const
{
    const record* item = find(id, generation);
    return item != nullptr && item->draining;
}

bool reported_unavailability::notePause(
    const upstream_id& id, upstream_generation generation, duration pause, time_point now)
{
    record* item = recordOf(id, generation, now);
    if (item == nullptr)
        return false;
    const bool wasPaused = now < item->pausedUntil;
    item->pausedUntil = std::max(item->pausedUntil, now + pause);
    return !wasPaused;
}

duration reported_unavailability::remainingPause(
    const upstream_id& id, upstream_generation generation, time_point now) const
{
    const record* item = find(id, generation);
    return item == nullptr ? duration::zero() : std::max(duration::zero(), item->pausedUntil - now);
}

reported_unavailability::record* reported_unavailability::recordOf(
    const upstream_id& id, upstream_generation generation, time_point now)
{
    const auto found = m_records.find(id);
    if (found == m_records.end()) {
        if (m_records.size() >= m_maximumCount)
            forgetEarliest();
        return &m_records.emplace(id, record { generation, now }).first->second;
    }
    if (generation < found->second.generation)
        return nullptr;
    if (found->second.generation < generation)
        found->second = { generation, now };
    return &found->second;
}

void reported_unavailability::forgetEarliest()
{
    const auto earliest = std::min_element(m_records.begin(), m_records.end(),
        [](const auto& left, const auto& right) { return left.second.recordedAt < right.second.recordedAt; });
    if (earliest != m_records.end())
        m_records.erase(earliest);
}

const reported_unavailability::record* reported_unavailability::find(
    const upstream_id& id, upstream_generation generation) const
{
    const auto found = m_records.find(id);
    return found != m_records.end() && generation <= found->second.generation ? &found->second : nullptr;
}

} // namespace plantainlatch
