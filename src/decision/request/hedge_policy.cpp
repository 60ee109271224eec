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
    if (++m_sinceLook < samplesPerLook || m_samples.size() < minimumSamples)
        return;
    m_sinceLook = 0;
    m_slow = percentile95(m_samples);
}

std::optional<duration> hedge_policy::delay(const service_id& service) const
{
    const auto window = m_windows.find(service);
    if (window == m_windows.end() || !window->second.slow())
        return std::nullopt;
    return std::max(*window->second.slow(), minimumDelay);
}

} // namespace plantainlatch
