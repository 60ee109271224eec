#pragma once

/** \file
 * The leader's record of the allocator leases that VMs may still hold.
 */

#include <map>

#include "core/clock.h"
#include "core/ids.h"

namespace plantainlatch {

/** How leases of allocators are given. */
struct allocator_lease_options {
    duration lease = std::chrono::milliseconds(2600);
    /** How much longer the leader counts a lease, for clocks that run unevenly. */
    duration drift = std::chrono::milliseconds(150);
    /** Gives an epoch no lease before the leases of all others have ended; without it two may allocate at once. */
    bool waitOut = true;
};

/** Grants leases so that no two epochs of a region ever hold one at once: neither by this leader nor, with beginTerm(),
 * by it and one before. */
class allocator_leases {
public:
    explicit allocator_leases(allocator_lease_options options)
        : m_options(options)
    {
    }

    /** This VM became leader: an earlier leader may have given any lease until now. */
    void beginTerm(time_point now);

    /** A VM showed that it held this epoch's lease after the term began, so that no other epoch had one. */
    void adopt(const region_id& region, allocator_epoch epoch, time_point now);

    /** Whether the epoch gets, or keeps, a lease from now on. */
    bool grant(const region_id& region, allocator_epoch epoch, time_point now);

    /** The holder gave its role up. */
    void giveUp(const region_id& region, allocator_epoch epoch);

    const allocator_lease_options& options() const { return m_options; }

private:
    struct held_lease {
        allocator_epoch epoch;
        time_point endsAt {};
    };

    duration longest() const { return m_options.lease + m_options.drift; }

    allocator_lease_options m_options;
    time_point m_earlierLeasesEnd {};
    std::map<region_id, held_lease> m_held;
};

} // namespace plantainlatch
