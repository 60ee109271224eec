#pragma once

/** \file
 * Exports the state dump of the services and the counts of log events as metrics.
 */

#include <memory>
#include <vector>

#include "kernel/state_dump.h"
#include "services/log_statistics.h"
#include "services/metrics.h"

namespace plantainlatch {

/** Converts a state dump: one sample for each number and flag, labelled with the service and the path within its dump.
 * Texts and the items of lists are skipped. */
std::vector<metric_sample> samplesOf(const state_dump& dump);

/** Registers metric families for the state dump, the counts of log events, and the log lines that were not written. */
void exposeState(metrics& numbers, std::function<state_dump()> dump, std::shared_ptr<const log_statistics> logged);

} // namespace plantainlatch
