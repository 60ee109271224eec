#pragma once

/** \file
 * Checks whether the remaining capacity suffices for a drain, and reports the progress of drains.
 */

#include <string>
#include <vector>

#include "model/control_message.h"
#include "model/control_snapshot.h"

namespace plantainlatch {

/** The reasons against draining the target now, one sentence each; empty when the remaining entries and upstreams
 * suffice. */
std::vector<std::string> findDrainRisks(
    const control_snapshot& state, const drain_target& target, const std::vector<service_load>& loads);

/** The requests per second that the target still serves; for an upstream, those of its failure domain; 0 for a VM. */
double requestRateAt(const control_snapshot& state, const drain_target& target, const std::vector<service_load>& loads);

} // namespace plantainlatch
