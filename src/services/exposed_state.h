#pragma once

/** \file
 * What services show of their state and what was logged, as metrics.
 */

#include <memory>
#include <vector>

#include "kernel/state_dump.h"
#include "services/log_statistics.h"
#include "services/metrics.h"

namespace plantainlatch {

/** Each number and flag of a state dump, labelled with its service and its path there; texts are left out. */
std::vector<metric_sample> samplesOf(const state_dump& dump);

/** Adds the numbers of the state dump, and the counts of logged events and lost lines. */
void exposeState(metrics& numbers, std::function<state_dump()> dump, std::shared_ptr<const log_statistics> logged);

} // namespace plantainlatch
