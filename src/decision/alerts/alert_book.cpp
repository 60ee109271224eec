#include "decision/alerts/alert_book.h"

#include <algorithm>

#include "core/internal_assert.h"

namespace plantainlatch {

namespace {

    /** An alert that was raised at once still needs this much calm to resolve. */
    constexpr duration leastCalm = std::chrono::seconds(3);

    /** A gap between two updates counts at most this much. */
    constexpr duration longestGap = std::chrono::seconds(2);

} // namespace

alert alert_book::shown(const followed& item)
{
    const risk_condition& condition = item.condition;
    return { condition.id, condition.promise, condition.what, condition.action, item.since };
}

void alert_book::follow(const std::vector<risk_condition>& conditions)
{
    for (auto& [id, item] : m_followed)
        item.holds = false;
    for (const risk_condition& condition : conditions) {
        const bool hasRoom = m_followed.size() < maximumFollowed || m_followed.contains(condition.id);
        if (!hasRoom)
            continue;
        followed& item = m_followed[condition.id];
        item.condition = condition;
        item.holds = true;
    }
    internal_assert(m_followed.size() <= maximumFollowed) << m_followed.size();
}

void alert_book::settle(followed& item, duration passed) const
{
    const duration top = std::max(item.condition.raiseAfter, leastCalm);
    if (m_filter == alert_filter::Plain)
        item.score = item.holds ? top : duration::zero();
    else if (item.holds)
        item.score = std::min(item.score + passed, top);
    else if (m_filter == alert_filter::Unbroken)
        item.score = duration::zero();
    else
        item.score = std::max(item.score - passed, duration::zero());
}

bool alert_book::isCalm(const followed& item) const { return !item.holds && item.score == duration::zero(); }

alert_changes alert_book::update(const std::vector<risk_condition>& conditions, time_point now, wall_time wallNow)
{
    const duration passed = std::min(now - m_updatedAt, longestGap);
    m_updatedAt = now;
    follow(conditions);
    alert_changes changes;
    for (auto& [id, item] : m_followed) {
        settle(item, passed);
        if (!item.raised && item.holds && item.score >= item.condition.raiseAfter) {
            item.raised = true;
            item.since = wallNow;
            item.score = std::max(item.condition.raiseAfter, leastCalm);
            changes.raised.push_back(shown(item));
        } else if (item.raised && isCalm(item)) {
            changes.resolved.push_back(shown(item));
        }
    }
    std::erase_if(m_followed, [&](const auto& entry) { return isCalm(entry.second); });
    return changes;
}

std::vector<alert> alert_book::active() const
{
    std::vector<alert> alerts;
    for (const auto& [id, item] : m_followed) {
        if (item.raised)
            alerts.push_back(shown(item));
    }
    return alerts;
}

} // namespace plantainlatch
