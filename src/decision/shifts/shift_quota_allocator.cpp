#include "decision/shifts/shift_quota_allocator.h"

#include <algorithm>

#include "core/internal_assert.h"

namespace plantainlatch {

std::uint32_t shift_quota_allocator::reservedBy(const std::vector<allowance>& given, time_point now) const
{
    std::uint32_t most = 0;
    for (const allowance& item : given) {
        if (item.countsUntil > now)
            most = std::max(most, item.perWindow);
    }
    return most;
}

std::uint32_t shift_quota_allocator::reservedByOthers(const holder& vm, time_point now) const
{
    std::uint32_t sum = 0;
    for (const auto& [other, given] : m_given) {
        if (other == vm)
            continue;
        sum += m_options.countEarlier ? reservedBy(given, now) : given.back().perWindow;
    }
    return sum;
}

std::uint32_t shift_quota_allocator::reserved(time_point now) const
{
    std::uint32_t sum = 0;
    for (const auto& [vm, given] : m_given)
        sum += reservedBy(given, now);
    return sum;
}

void shift_quota_allocator::prune(time_point now)
{
    for (auto& [vm, given] : m_given)
        std::erase_if(given, [&](const allowance& item) { return item.countsUntil <= now; });
    std::erase_if(m_given, [](const auto& entry) { return entry.second.empty(); });
}

std::uint32_t shift_quota_allocator::grant(
    const holder& vm, std::uint32_t requested, std::uint32_t held, std::uint32_t cap, time_point now)
{
    prune(now);
    const std::uint32_t others = reservedByOthers(vm, now);
    const std::uint32_t room = cap > others ? cap - others : 0;
    std::uint32_t given = std::min(requested, room);
    if (m_options.countEarlier && now < m_earlierEnd)
        given = std::min(given, held);
    m_given[vm].push_back({ given, now + m_options.lease + m_options.drift + m_options.window });
    return given;
}

} // namespace plantainlatch
