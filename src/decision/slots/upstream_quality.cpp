#include "decision/slots/upstream_quality.h"

#include <algorithm>

namespace plantainlatch {

namespace {

    constexpr std::size_t percent = 100;
    /** Each new value has the weight 1/smoothing in the exponential moving average. */
    constexpr int smoothing = 8;
    constexpr std::uint32_t maximumBackoffSteps = 10;

    duration smoothed(duration average, duration latest)
    {
        return average == duration::zero() ? latest : average + (latest - average) / smoothing;
    }

    bool isFailure(slot_result::kind ended)
    {
        return ended == slot_result::kind::Failed || ended == slot_result::kind::ConnectFailed
            || ended == slot_result::kind::Lost || ended == slot_result::kind::Timeout;
    }

} // namespace

upstream_quality::upstream_quality(upstream_quality_options options)
    : m_options(options)
{
}

bool upstream_quality::note(const upstream_announcement& upstream, const slot_result& result, time_point now)
{
    record& item = m_records[upstream.id];
    if (item.generation != upstream.generation)
        item = record {};
    item.generation = upstream.generation;
    if (result.ended == slot_result::kind::Answered)
        return noteAnswer(item, upstream.service, result.latency);
    if (result.ended == slot_result::kind::Shed)
        item.pausedUntil = now + m_options.shedPause;
    if (isFailure(result.ended))
        noteFailure(item, now);
    return false;
}

bool upstream_quality::noteAnswer(record& item, const service_id& service, duration latency)
{
    duration& averageLatency = m_serviceLatency[service];
    const bool warm = averageLatency == duration::zero() || latency <= averageLatency * m_options.warmFactor;
    item.latency = smoothed(item.latency, latency);
    averageLatency = smoothed(averageLatency, latency);
    item.consecutiveFailures = 0;
    item.ejections = 0;
    return warm;
}

void upstream_quality::noteFailure(record& item, time_point now)
{
    ++item.consecutiveFailures;
    if (!m_options.ejects || item.consecutiveFailures < m_options.failuresToEject)
        return;
    const std::uint32_t steps = std::min(item.ejections, maximumBackoffSteps);
    item.ejectedUntil = now + std::min(m_options.baseEjectionTime * (1U << steps), m_options.maximumEjectionTime);
    ++item.ejections;
    // A single failure after the ejection ejects the upstream again.
    item.consecutiveFailures = m_options.failuresToEject - 1;
}

std::set<upstream_id> upstream_quality::ejected(const std::vector<upstream_id>& members, time_point now) const
{
    std::vector<std::pair<time_point, upstream_id>> found;
    for (const upstream_id& id : members) {
        const auto item = m_records.find(id);
        if (item != m_records.end() && now < item->second.ejectedUntil)
            found.emplace_back(item->second.ejectedUntil, id);
    }
    const std::size_t maximum = members.size() * m_options.maximumEjectedPercent / percent;
    std::sort(found.begin(), found.end(), std::greater<>());
    found.resize(std::min(found.size(), maximum));
    std::set<upstream_id> result;
    for (const auto& [until, id] : found)
        result.insert(id);
    return result;
}

bool upstream_quality::paused(const upstream_id& id, time_point now) const
{
    const auto item = m_records.find(id);
    return item != m_records.end() && now < item->second.pausedUntil;
}

duration upstream_quality::latency(const upstream_id& id) const
{
    const auto item = m_records.find(id);
    return item == m_records.end() ? duration::zero() : item->second.latency;
}

duration upstream_quality::serviceLatency(const service_id& service) const
{
    const auto averageLatency = m_serviceLatency.find(service);
    return averageLatency == m_serviceLatency.end() ? duration::zero() : averageLatency->second;
}

void upstream_quality::keepOnly(const std::set<upstream_id>& known)
{
    std::erase_if(m_records, [&known](const auto& item) { return !known.contains(item.first); });
}

} // namespace plantainlatch
