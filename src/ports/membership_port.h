#pragma once

/** \file
 * The hooks by which services learn which VMs are alive and which regions this VM allocates slots for.
 */

#include <functional>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace plantainlatch {

/** The membership of the system as this VM knows it. */
struct membership_port {
    /** The random number of this start of this VM. */
    std::function<incarnation()> start;
    /** The VMs that the leader hears from; only the leader knows, elsewhere empty. */
    std::function<std::vector<vm_id>()> liveVms;
    /** Until when this VM may grant slots of a region, on its own clock; none when it is not the allocator or has no
     * lease. */
    std::function<std::optional<time_point>(const region_id&)> allocatorUntil;
    /** The longest allocator lease that any VM may still hold after it was last renewed. */
    std::function<duration()> allocatorLease;
    /** This VM began its graceful stop: it takes no new roles. */
    std::function<bool()> stopping;
    /** Begins the graceful stop: the other VMs are told to leave this one out of their entry lists. */
    std::function<void()> beginStop;
};

} // namespace plantainlatch
