#include "decision/request/request_durations.h"

#include <algorithm>

namespace plantainlatch {

void request_durations::observe(const request_kind& kind, duration elapsed)
{
    if (m_windows.size() >= maximumKinds && !m_windows.contains(kind))
        m_windows.clear();
    window& kept = m_windows[kind];
    if (kept.samples.size() < size)
        kept.samples.push_back(elapsed);
    else
        kept.samples[kept.next] = elapsed;
    kept.next = (kept.next + 1) % size;
}

std::optional<duration> request_durations::longest(const request_kind& kind) const
{
    const auto found = m_windows.find(kind);
    if (found == m_windows.end() || found->second.samples.size() < minimumSamples)
        return std::nullopt;
    const std::vector<duration>& samples = found->second.samples;
    return *std::max_element(samples.begin(), samples.end());
}

} // namespace plantainlatch
