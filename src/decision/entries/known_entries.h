#pragma once

/** \file
 * The entries among which cluster-wide limits are divided.
 */

#include <vector>

#include "model/control_snapshot.h"

namespace plantainlatch {

/** The entries that have started and not stopped gracefully. Entries that seem dead are included, as they may still
 * run: the shares of all running entries then never add up to more than the limit. */
std::vector<vm_id> knownEntries(const control_snapshot& state);

} // namespace plantainlatch
