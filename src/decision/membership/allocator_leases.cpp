#include "decision/membership/allocator_leases.h"

#include "core/internal_assert.h"

namespace plantainlatch {

void allocator_leases::beginTerm(time_point now)
{
    m_held.clear();
    m_earlierLeasesEnd = now + leaseWithDrift();
}

void allocator_leases::adopt(const region_id& region, allocator_epoch epoch, time_point now)
{
    m_held.try_emplace(region, held_lease { epoch, now + leaseWithDrift() });
}

bool allocator_leases::grant(const region_id& region, allocator_epoch epoch, time_point now)
{
    const auto found = m_held.find(region);
    const bool earlierLeaseMayHold = found == m_held.end() && now < m_earlierLeasesEnd;
    const bool heldByOther = found != m_held.end() && found->second.epoch != epoch && now < found->second.endsAt;
    if (m_options.waitForExpiry && (earlierLeaseMayHold || heldByOther))
        return false;
    internal_assert(found == m_held.end() || found->second.epoch <= epoch)
        << "allocator epoch of region " << region.value() << " decreased from " << found->second.epoch.value() << " to "
        << epoch.value();
    m_held[region] = { epoch, now + leaseWithDrift() };
    return true;
}

void allocator_leases::release(const region_id& region, allocator_epoch epoch)
{
    const auto found = m_held.find(region);
    if (found != m_held.end() && found->second.epoch == epoch)
        found->second.endsAt = time_point::min();
}

} // namespace plantainlatch
