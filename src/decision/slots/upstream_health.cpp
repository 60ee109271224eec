#include "decision/slots/upstream_health.h"

#include <algorithm>

namespace plantainlatch {

namespace {

    constexpr std::size_t percent = 100;

} // namespace

upstream_health::upstream_health(upstream_health_options options, time_point startedAt)
    : m_options(options)
    , m_startedAt(startedAt)
{
}

void upstream_health::noteReport(const upstream_id& id, const load_report& report)
{
    record& item = m_records[id];
    item.draining = report.draining;
    item.unhealthyReports = report.healthy ? 0 : item.unhealthyReports + 1;
}

void upstream_health::noteMissingReport(const upstream_id& id) { ++m_records[id].unhealthyReports; }

void upstream_health::noteAnswers(const upstream_id& id, time_point now)
{
    record& item = m_records[id];
    item.answered = true;
    item.answeredAt = now;
}

bool upstream_health::recentlyAnnounced(const upstream_id& id, const liveness_port& liveness, time_point now) const
{
    const std::optional<time_point> seen = liveness.lastSeen(id);
    const time_point latest = seen ? std::max(*seen, m_startedAt) : m_startedAt;
    return now - latest < liveness.silenceTimeout();
}

bool upstream_health::isReportedUnhealthy(const upstream_id& id, time_point now) const
{
    const auto found = m_records.find(id);
    if (found == m_records.end())
        return false;
    if (found->second.draining)
        return true;
    const bool answeredRecently = found->second.answered && now - found->second.answeredAt < m_options.recentAnswerTime;
    return found->second.unhealthyReports >= m_options.unhealthyThreshold && !answeredRecently;
}

bool upstream_health::isUnhealthy(const upstream_id& id, const std::vector<upstream_id>& members, time_point now) const
{
    if (!isReportedUnhealthy(id, now))
        return false;
    const auto count = static_cast<std::size_t>(std::count_if(members.begin(), members.end(),
        [this, now](const upstream_id& member) { return isReportedUnhealthy(member, now); }));
    return count * percent <= members.size() * m_options.maximumUnhealthyPercent;
}

} // namespace plantainlatch
