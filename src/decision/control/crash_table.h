#pragma once

/** \file
 * The replicated table of requests that crashed upstreams, by request fingerprint. Requests equal to one that crashed
 * several upstreams are refused, so that retries of a "query of death" do not take down one upstream after another.
 *
 * A record is withdrawn when an equal request completes. As refused requests can't complete, single ones are allowed to
 * run as trials, with growing delays between them.
 */

#include <cstddef>
#include <map>
#include <optional>

#include "core/clock.h"
#include "model/command.h"
#include "model/control_snapshot.h"

namespace plantainlatch {

/** A request is refused once equal requests have crashed this many upstreams. Each start of an upstream counts. */
inline constexpr std::size_t crashedUpstreamThreshold = 2;

/** How long after the last crash a record is kept and equal requests are refused. */
inline constexpr duration crashRetention = std::chrono::minutes(10);

/** The most records kept. When the table is full, a new record evicts the one whose last crash is the earliest. */
inline constexpr std::size_t maximumCrashRecords = 2048;

/** A record allows this many trials that are judged; after them, equal requests are refused until it expires. */
inline constexpr std::uint64_t maximumJudgedTrials = 3;

/** How long after the last crash the first trial may begin. Each judged trial, and each refusal that was lifted before,
 * doubles the time, up to the maximum. */
inline constexpr duration firstTrialDelay = std::chrono::seconds(2);
inline constexpr duration maximumTrialDelay = std::chrono::seconds(8);

/** After this many lifted refusals, only the completion of a trial lifts the next one: a request that crashes upstreams
 * may be equal, by all that is compared, to one that completes. */
inline constexpr std::uint64_t refusalsLiftedWithoutTrial = 2;

/** The most upstreams kept in one record; further ones are not added. */
inline constexpr std::size_t maximumCrashedUpstreams = 8;

/** Adds the upstream to the record of the fingerprint and returns the number of crashes in it. The current time is the
 * time of the proposal. */
command_result applyCrashReport(
    std::map<crash_key, crash_record>& crashes, const proposal& reported, const report_crash& command);

/** Removes the crashes from the record; has no effect without one. */
command_result applyCrashWithdrawal(std::map<crash_key, crash_record>& crashes, const withdraw_crashes& command);

/** Accepted if the trial may run. Refused if another one has begun, or if there is no record. */
command_result applyCrashTrial(std::map<crash_key, crash_record>& crashes, const begin_crash_trial& command);

command_result applyDiscardedTrial(std::map<crash_key, crash_record>& crashes, const discard_crash_trial& command);

/** The time from the last crash or trial to the next trial; empty if no further one is allowed. */
std::optional<duration> trialDelay(const crash_record& record);

/** Whether the last crash is within the retention at `now`. */
bool isRetained(const crash_record& record, wall_time now);

} // namespace plantainlatch
