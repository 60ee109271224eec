#pragma once

/** \file
 * Checks whether the rest can bear a drain, and how far drains have come.
 */

#include <string>
#include <vector>

#include "model/control_message.h"
#include "model/control_snapshot.h"

namespace plantainlatch {

/** Why the target should not be drained now, one sentence a reason; empty when the rest bears it. */
std::vector<std::string> findDrainRisks(
    const control_snapshot& state, const drain_target& target, const std::vector<service_load>& loads);

/** What still runs at the target: requests a second for places; for an upstream, those of its failure domain. */
double runningAt(const control_snapshot& state, const drain_target& target, const std::vector<service_load>& loads);

} // namespace plantainlatch
