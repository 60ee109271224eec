#include "decision/request/hedge_policy.h"

#include <algorithm>

namespace plantainlatch {

namespace {

    duration percentile95(std::vector<duration> samples)
    {
        const auto position = samples.begin() + static_cast<std::ptrdiff_t>(samples.size() * 95 / 100);
        std::nth_element(samples.begin(), position, samples.end());
        return *position;
    }

} // namespace

void latency_window::add(duration latency)
{
    if (m_samples.size() < size)
        m_samples.push_back(latency);
    else
        m_samples[m_next] = latency;
    m_next = (m_next + 1) % size;
    if (++m_samplesSinceUpdate < samplesPerUpdate || m_samples.size() < minimumSamples)
        return;
    m_samplesSinceUpdate = 0;
    m_p95 = percentile95(m_samples);
}

void hedge_policy::observeSlot(const service_id& service, bool waited)
{
    record& serviceRecord = m_records[service];
    serviceRecord.waitingShare += waitingWeight * ((waited ? 1.0 : 0.0) - serviceRecord.waitingShare);
}

bool hedge_policy::hasSpareSlots(const service_id& service) const
{
    const auto found = m_records.find(service);
    return found == m_records.end() || found->second.waitingShare <= maximumWaitingShare;
}

std::optional<duration> hedge_policy::delay(const service_id& service) const
{
    const std::optional<duration> p95 = p95Latency(service);
    if (!p95)
        return std::nullopt;
    return std::max(*p95, minimumDelay);
}

std::optional<duration> hedge_policy::p95Latency(const service_id& service) const
{
    const auto found = m_records.find(service);
    return found != m_records.end() ? found->second.latencies.p95() : std::nullopt;
}

} // namespace plantainlatch
