#include "decision/shifts/measurement_window.h"

#include <chrono>

namespace plantainlatch {

void measurement_window::add(const vm_heartbeat& heartbeat, time_point now)
{
    for (const service_measurement& measured : heartbeat.measurements) {
        auto& samples = m_samples[{ measured.service, measured.failureDomain }];
        samples.push_back({ now, measured });
        while (samples.size() > maximumSamples || samples.front().receivedAt + m_span <= now)
            samples.pop_front();
    }
}

std::optional<domain_statistics> measurement_window::statistics(
    const service_id& service, const failure_domain_id& domain, time_point now) const
{
    const auto found = m_samples.find({ service, domain });
    if (found == m_samples.end())
        return {};
    domain_statistics sum;
    duration medians {};
    duration p95s {};
    for (const sample& item : found->second) {
        if (item.receivedAt + m_span <= now)
            continue;
        const service_measurement& measured = item.measured;
        const std::uint64_t requests = measured.answered + measured.failed + measured.refused;
        sum.requests += requests;
        sum.failed += measured.failed + measured.refused;
        medians += measured.medianLatency * requests;
        p95s += measured.p95Latency * requests;
    }
    if (sum.requests == 0)
        return {};
    sum.medianLatency = medians / sum.requests;
    sum.p95Latency = p95s / sum.requests;
    sum.perSecond = static_cast<double>(sum.requests) / std::chrono::duration<double>(m_span).count();
    return sum;
}

} // namespace plantainlatch
