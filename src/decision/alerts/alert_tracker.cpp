#include "decision/alerts/alert_tracker.h"

#include <algorithm>

#include "core/internal_assert.h"

namespace plantainlatch {

namespace {

    /** The leaky filter resolves an alert after at least this time without its condition, even if `raiseAfter` is
     * shorter. */
    constexpr duration minimumClearTime = std::chrono::seconds(3);

    /** The most time that one update adds to or subtracts from a score, however long ago the last update was. */
    constexpr duration maximumElapsed = std::chrono::seconds(2);

} // namespace

alert alert_tracker::toAlert(const tracked_risk& item)
{
    const risk_condition& condition = item.condition;
    return { condition.id, condition.promise, condition.what, condition.action, item.since };
}

void alert_tracker::track(const std::vector<risk_condition>& conditions)
{
    for (auto& [id, item] : m_tracked)
        item.holds = false;
    for (const risk_condition& condition : conditions) {
        const bool canTrack = m_tracked.size() < maximumTracked || m_tracked.contains(condition.id);
        if (!canTrack)
            continue;
        tracked_risk& item = m_tracked[condition.id];
        item.condition = condition;
        item.holds = true;
    }
    internal_assert(m_tracked.size() <= maximumTracked) << m_tracked.size();
}

void alert_tracker::updateScore(tracked_risk& item, duration elapsed) const
{
    const duration maximumScore = std::max(item.condition.raiseAfter, minimumClearTime);
    if (m_filter == alert_filter::Plain)
        item.score = item.holds ? maximumScore : duration::zero();
    else if (item.holds)
        item.score = std::min(item.score + elapsed, maximumScore);
    else if (m_filter == alert_filter::Unbroken)
        item.score = duration::zero();
    else
        item.score = std::max(item.score - elapsed, duration::zero());
}

bool alert_tracker::hasCleared(const tracked_risk& item) const { return !item.holds && item.score == duration::zero(); }

alert_changes alert_tracker::update(const std::vector<risk_condition>& conditions, time_point now, wall_time wallNow)
{
    const duration elapsed = std::min(now - m_updatedAt, maximumElapsed);
    m_updatedAt = now;
    track(conditions);
    alert_changes changes;
    for (auto& [id, item] : m_tracked) {
        updateScore(item, elapsed);
        if (!item.raised && item.holds && item.score >= item.condition.raiseAfter) {
            item.raised = true;
            item.since = wallNow;
            item.score = std::max(item.condition.raiseAfter, minimumClearTime);
            changes.raised.push_back(toAlert(item));
        } else if (item.raised && hasCleared(item)) {
            changes.resolved.push_back(toAlert(item));
        }
    }
    std::erase_if(m_tracked, [&](const auto& entry) { return hasCleared(entry.second); });
    return changes;
}

std::vector<alert> alert_tracker::active() const
{
    std::vector<alert> alerts;
    for (const auto& [id, item] : m_tracked) {
        if (item.raised)
            alerts.push_back(toAlert(item));
    }
    return alerts;
}

} // namespace plantainlatch
