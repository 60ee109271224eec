#pragma once

/** \file
 * The replicated table of requests under which upstreams crashed, by fingerprint.
 */

#include <cstddef>
#include <map>

#include "core/clock.h"
#include "model/command.h"
#include "model/control_snapshot.h"

namespace plantainlatch {

/** From this many distinct upstreams on, equal requests are refused. */
inline constexpr std::size_t crashedUpstreamThreshold = 2;

/** How long after the last crash equal requests are refused, and a record is kept. */
inline constexpr duration crashRetention = std::chrono::minutes(10);

/** The most fingerprints kept at once; a report beyond them replaces the one seen longest ago. */
inline constexpr std::size_t maximumCrashRecords = 1024;

/** The most upstreams kept in one record; more change nothing. */
inline constexpr std::size_t maximumCrashedUpstreams = 8;

/** Counts a crash and says whether equal requests are refused from now on. Time is the proposal's own. */
command_result applyCrashReport(
    std::map<crash_key, crash_record>& crashes, const proposal& reported, const report_crash& command);

/** Whether requests of this fingerprint are refused at `now`. */
bool isBlockedByCrashes(
    const control_snapshot& state, const crash_key& key, wall_time now, std::size_t limit = crashedUpstreamThreshold);

} // namespace plantainlatch
