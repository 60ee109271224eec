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

/** A VM of another region hands the allocator role back once a VM of the region has been alive for this long. */
inline constexpr duration homeReturnDelay = std::chrono::seconds(30);

/** Proposes a new allocator for the region if it has none, or if the current one is dead, stopping or drained, or is
 * outside the region while a VM inside has been alive for homeReturnDelay. Prefers VMs of the region, then those with
 * the fewest allocator roles. Returns none if the current allocator stays. */
std::optional<assign_allocator> chooseAllocator(
    const control_snapshot& state, const region_id& region, const std::vector<vm_report>& live, time_point now);

} // namespace plantainlatch
