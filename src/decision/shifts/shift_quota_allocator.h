#pragma once

/** \file
 * Enforces the rate cap of a shift over all VMs: the leader leases each VM a quota, and keeps the quota reserved
 * until every window that can contain a request admitted under it has ended.
 */

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace plantainlatch {

/** Options of the distributed rate limit of a shift. */
struct shift_cap_options {
    /** The window over which the VMs limit the rate. The target must not receive more than the cap in any second. The
     * window is 100 ms longer than a second, since requests of different VMs have different network delays. */
    duration window = std::chrono::milliseconds(1100);
    /** How long a quota is valid, from the time when the VM sent its heartbeat. */
    duration lease = std::chrono::seconds(2);
    /** Added to the time for which the leader keeps a quota reserved, to tolerate differences in clock rate. */
    duration drift = std::chrono::milliseconds(100);
    /** Keeps a VM's earlier quotas reserved, too. If false, only the latest quota of each VM is reserved, and the cap
     * can be exceeded; tests use this to show that the reservation is needed. */
    bool countEarlierQuotas = true;
};

/** Leases quotas to VMs. The requests admitted by all VMs together never exceed the cap within any window, also across
 * a change of leader. */
class shift_quota_allocator {
public:
    shift_quota_allocator(shift_cap_options options, time_point termBegan)
        : m_options(options)
        , m_earlierLeasesEnd(termBegan + options.lease + options.drift + options.window)
    {
    }

    /** One incarnation of a VM. */
    using holder = std::pair<vm_id, incarnation>;

    /** Leases a VM a quota: `requested`, limited to the part of the cap that is not reserved by other VMs. While quotas
     * of an earlier leader may still be reserved, the quota is also limited to `held`, the VM's present quota. */
    std::uint32_t grant(
        const holder& vm, std::uint32_t requested, std::uint32_t held, std::uint32_t cap, time_point now);

    /** The most requests that all VMs together may admit in a window that has not ended. */
    std::uint32_t reserved(time_point now) const;

private:
    struct quota_lease {
        std::uint32_t perWindow = 0;
        /** Windows that end after this contain no request admitted under the lease. */
        time_point reservedUntil {};
    };

    void prune(time_point now);
    std::uint32_t reservedByOthers(const holder& vm, time_point now) const;
    std::uint32_t reservedBy(const std::vector<quota_lease>& leases, time_point now) const;

    shift_cap_options m_options;
    time_point m_earlierLeasesEnd;
    std::map<holder, std::vector<quota_lease>> m_leases;
};

} // namespace plantainlatch
