#include "decision/placement/cold_gate.h"

#include <algorithm>

#include <xxhash.h>

namespace plantainlatch {

namespace {

    /** Longer than the second that counts, as requests don't all take equally long to arrive. */
    constexpr duration gateWindow = std::chrono::milliseconds(1200);

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

std::size_t cold_gate::passed(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_passed.begin(), m_passed.end(), [now](time_point at) { return now < at + gateWindow; }));
}

bool cold_gate::pass(std::size_t most, time_point now)
{
    while (!m_passed.empty() && m_passed.front() + gateWindow <= now)
        m_passed.pop_front();
    if (m_passed.size() >= most)
        return false;
    m_passed.push_back(now);
    return true;
}

} // namespace plantainlatch
