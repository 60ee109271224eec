#pragma once

/** \file
 * Splits the cap of a shift over the VMs that want to spend it.
 */

#include <cstdint>
#include <map>

#include "core/ids.h"

namespace plantainlatch {

/** Whole parts of `cap` in proportion to what each VM wants, each wanting at least a little; they sum to `cap` unless
 * there is no VM. */
std::map<vm_id, std::uint32_t> splitCap(std::uint32_t cap, const std::map<vm_id, double>& requested);

} // namespace plantainlatch
