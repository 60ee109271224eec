#include "decision/placement/bytes_in_flight.h"

#include <map>

namespace plantainlatch {

std::uint64_t& bytes_in_flight::sumOf(sums& item, byte_count bodySize) const
{
    return bodySize > m_limits.smallBody ? item.large : item.small;
}

bool bytes_in_flight::hasRoomFor(const upstream_id& upstream, byte_count bodySize) const
{
    const auto found = m_sums.find(upstream);
    if (bodySize == byte_count() || found == m_sums.end())
        return true;
    const std::uint64_t inFlight = bodySize > m_limits.smallBody ? found->second.large : found->second.small;
    return inFlight == 0 || inFlight + bodySize.value() <= m_limits.maximum.value();
}

void bytes_in_flight::add(const upstream_id& upstream, byte_count bodySize)
{
    if (bodySize > byte_count())
        sumOf(m_sums[upstream], bodySize) += bodySize.value();
}

void bytes_in_flight::remove(const upstream_id& upstream, byte_count bodySize)
{
    if (bodySize == byte_count())
        return;
    sums& item = m_sums[upstream];
    sumOf(item, bodySize) -= bodySize.value();
    if (item.small + item.large == 0)
        m_sums.erase(upstream);
}

void bytes_in_flight::dumpTo(state_dump& shown) const
{
    for (const auto& [id, item] : std::map(m_sums.begin(), m_sums.end()))
        shown.add(id.value(), item.small + item.large);
}

} // namespace plantainlatch
