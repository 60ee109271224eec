#pragma once

/** \file
 * The VMs that share what the entries may do together.
 */

#include <vector>

#include "model/control_snapshot.h"

namespace plantainlatch {

/** The entries that started and did not stop gracefully; those that may be dead count too, so that the parts of all
 * that run never add up to more than the whole. */
std::vector<vm_id> knownEntries(const control_snapshot& state);

} // namespace plantainlatch
