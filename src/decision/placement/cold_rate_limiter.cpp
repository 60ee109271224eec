#include "decision/placement/cold_rate_limiter.h"

#include <algorithm>

#include <xxhash.h>

namespace plantainlatch {

namespace {

    /** Longer than the one second that the limit is stated for, because delays vary: requests sent more than a second
     * apart may still arrive within one second. */
    constexpr duration rateWindow = std::chrono::milliseconds(1200);

    std::uint64_t rankOf(const vm_id& vm, const upstream_id& upstream)
    {
        const XXH64_hash_t seed = XXH3_64bits(upstream.value().data(), upstream.value().size());
        return XXH3_64bits_withSeed(vm.value().data(), vm.value().size(), seed);
    }

} // namespace

std::size_t coldShare(double total, const std::vector<vm_id>& entries, const vm_id& self, const upstream_id& upstream)
{
    if (entries.empty() || total < 1)
        return 0;
    const auto whole = static_cast<std::size_t>(total);
    const std::size_t remainder = whole % entries.size();
    const std::uint64_t own = rankOf(self, upstream);
    const auto before = static_cast<std::size_t>(std::count_if(
        entries.begin(), entries.end(), [&](const vm_id& vm) { return vm != self && rankOf(vm, upstream) < own; }));
    return whole / entries.size() + (before < remainder ? 1 : 0);
}

std::size_t cold_rate_limiter::admitted(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_admitted.begin(), m_admitted.end(), [now](time_point at) { return now < at + rateWindow; }));
}

bool cold_rate_limiter::tryAcquire(std::size_t limit, time_point now)
{
    while (!m_admitted.empty() && m_admitted.front() + rateWindow <= now)
        m_admitted.pop_front();
    if (m_admitted.size() >= limit)
        return false;
    m_admitted.push_back(now);
    return true;
}

} // namespace plantainlatch
