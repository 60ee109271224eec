#include "decision/shifts/shift_quota_allocator.h"

#include <algorithm>

#include "core/internal_assert.h"

namespace plantainlatch {

std::uint32_t shift_quota_allocator::reservedBy(const std::vector<quota_lease>& leases, time_point now) const
{
    std::uint32_t maximum = 0;
    for (const quota_lease& item : leases) {
        if (item.reservedUntil > now)
            maximum = std::max(maximum, item.perWindow);
    }
    return maximum;
}

std::uint32_t shift_quota_allocator::reservedByOthers(const holder& vm, time_point now) const
{
    std::uint32_t sum = 0;
    for (const auto& [other, leases] : m_leases) {
        if (other == vm)
            continue;
        sum += m_options.countEarlierQuotas ? reservedBy(leases, now) : leases.back().perWindow;
    }
    return sum;
}

std::uint32_t shift_quota_allocator::reserved(time_point now) const
{
    std::uint32_t sum = 0;
    for (const auto& [vm, leases] : m_leases)
        sum += reservedBy(leases, now);
    return sum;
}

void shift_quota_allocator::prune(time_point now)
{
    for (auto& [vm, leases] : m_leases)
        std::erase_if(leases, [&](const quota_lease& item) { return item.reservedUntil <= now; });
    std::erase_if(m_leases, [](const auto& entry) { return entry.second.empty(); });
}

std::uint32_t shift_quota_allocator::grant(
    const holder& vm, std::uint32_t requested, std::uint32_t held, std::uint32_t cap, time_point now)
{
    prune(now);
    const std::uint32_t others = reservedByOthers(vm, now);
    const std::uint32_t available = cap > others ? cap - others : 0;
    std::uint32_t granted = std::min(requested, available);
    if (m_options.countEarlierQuotas && now < m_earlierLeasesEnd)
        granted = std::min(granted, held);
    m_leases[vm].push_back({ granted, now + m_options.lease + m_options.drift + m_options.window });
    return granted;
}

} // namespace plantainlatch
