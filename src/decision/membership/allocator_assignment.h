#pragma once

/** \file
 * Chooses which VM allocates the slots of a region.
 */

#include <optional>
#include <vector>

#include "core/clock.h"
#include "model/control_snapshot.h"
#include "ports/membership_port.h"

namespace plantainlatch {

/** How long a VM of the region must have been alive before it takes the allocator role over from a VM of another
 * region. */
inline constexpr duration localTakeoverDelay = std::chrono::seconds(30);

/** Proposes a new allocator for the region if it has none, if the current one is dead, if the current one is stopping
 * or drained and another VM is neither, or if the current one is outside the region and the preferred VM is inside and
 * has been alive for localTakeoverDelay. Prefers VMs that are neither stopping nor drained, then VMs of the region,
 * then those with the fewest allocator roles. Returns none if the current allocator stays or no VM is alive. */
std::optional<assign_allocator> chooseAllocator(
    const control_snapshot& state, const region_id& region, const std::vector<vm_report>& live, time_point now);

} // namespace plantainlatch
