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

/** A VM of another region hands the role back once one of the region has been alive for this long. */
inline constexpr duration returnHomeAfter = std::chrono::seconds(30);

/** The assignment that the region needs now, or none when its allocator is fit: alive, not stopping, and of the region
 * or without a steady VM there. Prefers VMs of the region, then those with the fewest roles. */
std::optional<assign_allocator> chooseAllocator(
    const control_snapshot& state, const region_id& region, const std::vector<vm_report>& live, time_point now);

} // namespace plantainlatch
