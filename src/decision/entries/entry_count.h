#pragma once

/** \file
 * How many VMs share what the entries may do together.
 */

#include <cstddef>

#include "model/control_snapshot.h"

namespace plantainlatch {

/** The entries that started and did not stop gracefully; those that may be dead count too, so that the parts of all
 * that run never add up to more than the whole. */
std::size_t entryCount(const control_snapshot& state);

} // namespace plantainlatch
