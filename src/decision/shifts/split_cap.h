#pragma once

/** \file
 * Splits the rate cap of a shift over the VMs by their demand.
 */

#include <cstdint>
#include <map>

#include "core/ids.h"

namespace plantainlatch {

/** Splits `cap` into integers in proportion to each VM's demand, by the largest remainder method. They sum to `cap`
 * unless there is no VM. A VM without demand so far can get a part, too. */
std::map<vm_id, std::uint32_t> splitCap(std::uint32_t cap, const std::map<vm_id, double>& demands);

} // namespace plantainlatch
