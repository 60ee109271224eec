#pragma once

/** \file
 * The leader's table of the allocator leases that VMs may still hold.
 */

#include <map>

#include "core/clock.h"
#include "core/ids.h"

namespace plantainlatch {

/** Options of allocator_leases. */
struct allocator_lease_options {
    /** How long the holder may rely on a lease, from when it sent its heartbeat. */
    duration lease = std::chrono::milliseconds(2600);
    /** How much longer the leader treats a lease as held, for clocks that run at different rates. */
    duration drift = std::chrono::milliseconds(150);
    /** Refuses a lease to an epoch until the leases of all other epochs of the region have ended. Without this, two VMs
     * may allocate slots of one region at once. */
    bool waitForExpiry = true;
};

/** Grants leases to the allocator epochs of each region. Invariant: at most one epoch of a region holds a lease at any
 * time, also across a change of leader, because a new leader waits until the leases of earlier leaders have ended. */
class allocator_leases {
public:
    explicit allocator_leases(allocator_lease_options options)
        : m_options(options)
    {
    }

    /** To be called when this VM becomes leader. An earlier leader may have granted leases until now, so every region's
     * lease is treated as held until a lease granted at `now` would have ended. */
    void beginTerm(time_point now);

    /** Records the lease of an epoch whose holder reported it after the term began; no other epoch of the region can
     * have held one then. */
    void adopt(const region_id& region, allocator_epoch epoch, time_point now);

    /** Grants or renews the epoch's lease, or returns false while another epoch may hold one. */
    bool grant(const region_id& region, allocator_epoch epoch, time_point now);

    /** Ends the epoch's lease early, because its holder gave up the role. */
    void release(const region_id& region, allocator_epoch epoch);

    const allocator_lease_options& options() const { return m_options; }

private:
    struct held_lease {
        allocator_epoch epoch;
        time_point endsAt {};
    };

    duration leaseWithDrift() const { return m_options.lease + m_options.drift; }

    allocator_lease_options m_options;
    time_point m_earlierLeasesEnd {};
    std::map<region_id, held_lease> m_held;
};

} // namespace plantainlatch
