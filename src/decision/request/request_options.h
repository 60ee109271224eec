#pragma once

/** \file
 * Bounds of the request path, and the hooks by which its policies vary.
 */

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

#include "core/clock.h"
#include "core/outcome.h"
#include "core/units.h"
#include "decision/request/crash_guard.h"
#include "decision/request/outcome_machine.h"
#include "decision/request/retry_window.h"
#include "model/http.h"
#include "ports/upstream_port.h"

namespace plantainlatch {

/** What the path knows of a request from its service's definition. */
struct request_traits {
    bool idempotent = false;
    /** It carries a key and is not idempotent. */
    bool claimed = false;
};

/** An attempt that ended without an answer to pass on, and what is known when its retry is weighed. */
struct failed_attempt {
    request_traits traits;
    attempt_state state = attempt_state::Lost;
    duration remaining {};
};

/** How an attempt ended, for when its slot may be used again. */
enum class attempt_ending {
    Finished,
    Lost,
    Cancelled,
};

/** What is known when a slot came and a call could be started. */
struct dispatch_timing {
    /** Until the request's deadline, now and when it arrived. */
    duration remaining {};
    duration whole {};
    /** The 95th percentile of the service's latencies; none when that is not known. */
    std::optional<duration> p95Latency;
};

/** The policies of the request path; each has a sound default and can be replaced, as tests do to show what it is for.
 */
struct request_policies {
    /** Whether the work needs its key claimed before dispatch. */
    std::function<bool(const request_traits&)> claims;
    /** What is said of claimed work that ends before its claim is resolved: an earlier request may have run it. */
    std::function<outcome(const request_traits&)> unresolvedOutcome;
    /** Whether a call is likely enough to be answered before the deadline to be started. */
    std::function<bool(const dispatch_timing&)> worthStarting;
    /** Whether a call that had this chance and timed out speaks against its upstream. */
    std::function<bool(const dispatch_timing&)> blamesUpstream;
    /** Whether calls that timed out count among the latencies, as slow ones. */
    std::function<bool()> learnsFromTimeouts;
    /** Whether an ended attempt may be followed by another. */
    std::function<bool(const failed_attempt&)> mayRetry;
    /** Whether an answer says that the upstream did not run the work. */
    std::function<bool(const upstream_answer&)> isMarkedRefusal;
    /** Whether a call must not use an idle connection. */
    std::function<bool(const request_traits&)> needsFreshConnection;
    /** Whether a failed call may be a crash of the upstream. */
    std::function<bool(call_failure)> mayBeCrash;
    /** Whether retries and hedges are held to the budget. */
    std::function<bool()> budgeted;
    /** Whether a retry after this end is outside the budget. */
    std::function<bool(const failed_attempt&)> isExemptFromBudget;
    /** Whether a slow attempt of such a request may be hedged. */
    std::function<bool(const request_traits&)> hedges;
    /** Whether a hedge may be made, given whether slots are plentiful. */
    std::function<bool(bool hasRoom)> hasRoomToHedge;
    /** Whether dispatched work goes on when its caller has left. */
    std::function<bool(const request_traits&)> outlivesCaller;
    /** Whether the slot of an attempt that ended so stays busy while the work may still run. */
    std::function<bool(attempt_ending)> keepsSlotBusy;
    /** Whether a claim that may be applied after its proposal's timeout is watched for and released. */
    std::function<bool()> releasesLateClaims;
    /** Whether new requests are refused once a stop's cache time has passed. */
    std::function<bool()> refusesWhileStopping;
};

/** The sound policies. */
request_policies defaultRequestPolicies();

/** Bounds of the request path of one VM. */
struct request_options {
    /** Requests in flight or waiting, at most. */
    std::size_t maximumRequests = 4096;
    /** Bytes of all their bodies, at most. */
    byte_count maximumBodies { 64 * 1024 * 1024 };
    /** Attempts of one request, hedges among them. */
    std::size_t maximumAttempts = 4;
    /** How long after its close the work of a cancelled call may still run at the upstream: the way there and its
     * reaction. */
    duration cancellationGrace = std::chrono::milliseconds(100);
    /** How long a crash report may take before the entry goes on with what it knows itself. */
    duration crashReportTimeout = std::chrono::milliseconds(500);
    /** How long a caller's answer waits after a crash report, so that a resend finds it applied at every entry. */
    duration crashReportSpread = std::chrono::milliseconds(250);
    /** How long a stop goes on taking requests; the cache time of the settings if there is none. */
    std::optional<duration> lameDuckTime;
    crash_guard_options crashes;
    /** Bounds retries by a sliding window instead of by all that came since the start. */
    std::optional<retry_window_options> retryWindow;
    /** How long a stop goes on settling keys after the last request ended. */
    duration settlementStopTime = std::chrono::seconds(5);
    request_policies policies = defaultRequestPolicies();
};

} // namespace plantainlatch
