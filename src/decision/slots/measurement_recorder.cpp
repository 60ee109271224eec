#include "decision/slots/measurement_recorder.h"

#include <algorithm>

namespace plantainlatch {

namespace {

    constexpr double medianRank = 0.5;
    constexpr double p95Rank = 0.95;

    duration quantile(std::vector<duration>& latencies, double rank)
    {
        if (latencies.empty())
            return {};
        const auto position = static_cast<std::ptrdiff_t>(rank * static_cast<double>(latencies.size() - 1));
        const auto wanted = latencies.begin() + position;
        std::nth_element(latencies.begin(), wanted, latencies.end());
        return *wanted;
    }

} // namespace

void measurement_recorder::note(const upstream_announcement& upstream, const slot_result& result)
{
    using kind = slot_result::kind;
    if (result.ended == kind::Unused || result.ended == kind::Cancelled)
        return;
    domain_counts& counts = m_counts[{ upstream.service, upstream.failureDomain }];
    if (result.ended == kind::Shed) {
        ++counts.refused;
        return;
    }
    if (result.ended != kind::Answered) {
        ++counts.failed;
        return;
    }
    if (counts.latencies.size() < maximumLatencies)
        counts.latencies.push_back(result.latency);
    else
        counts.latencies[counts.answered % maximumLatencies] = result.latency;
    ++counts.answered;
}

std::vector<service_measurement> measurement_recorder::take()
{
    std::vector<service_measurement> taken;
    taken.reserve(m_counts.size());
    for (auto& [key, counts] : m_counts)
        taken.push_back({ key.first, key.second, counts.answered, counts.failed, counts.refused,
            quantile(counts.latencies, medianRank), quantile(counts.latencies, p95Rank) });
    m_counts.clear();
    return taken;
}

} // namespace plantainlatch
