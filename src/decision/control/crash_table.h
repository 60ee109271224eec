#pragma once

/** \file
 * The replicated table of requests that crashed upstreams, by request fingerprint. Requests equal to one that crashed
 * several upstreams are refused, so that retries of a "query of death" do not take down one upstream after another.
 */

#include <cstddef>
#include <map>

#include "core/clock.h"
#include "model/command.h"
#include "model/control_snapshot.h"

namespace plantainlatch {

/** A request is refused once equal requests have crashed this many upstreams. Each start of an upstream counts. */
inline constexpr std::size_t crashedUpstreamThreshold = 2;

/** How long after the last crash a record is kept and equal requests are refused. */
inline constexpr duration crashRetention = std::chrono::minutes(10);

/** The most records kept. When the table is full, a new record evicts the one whose last crash is the earliest. */
inline constexpr std::size_t maximumCrashRecords = 1024;

/** The most upstreams kept in one record; further ones are not added. */
inline constexpr std::size_t maximumCrashedUpstreams = 8;

/** Adds the upstream to the record of the fingerprint and returns the number of crashes in it. The current time is the
 * time of the proposal. */
command_result applyCrashReport(
    std::map<crash_key, crash_record>& crashes, const proposal& reported, const report_crash& command);

/** Whether requests of this fingerprint are refused at `now`: at least `limit` upstreams have crashed, the
 * last one within the retention. */
bool isBlockedByCrashes(
    const control_snapshot& state, const crash_key& key, wall_time now, std::size_t limit = crashedUpstreamThreshold);

} // namespace plantainlatch
