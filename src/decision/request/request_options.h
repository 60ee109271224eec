#pragma once

/** \file
 * Limits of the request path and its replaceable policies.
 */

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

#include "core/clock.h"
#include "core/outcome.h"
#include "core/units.h"
#include "decision/request/crash_guard.h"
#include "decision/request/outcome_tracker.h"
#include "decision/request/retry_window.h"
#include "model/http.h"
#include "ports/upstream_port.h"

namespace plantainlatch {

/** Properties of a request that its policies depend on. */
struct request_traits {
    bool idempotent = false;
    /** The request carries an idempotency key, is not idempotent and was not matched to a route. */
    bool needsClaim = false;
};

/** The input of the retry policies: an attempt that failed before dispatch, was refused or shed by the upstream, or was
 * lost. */
struct failed_attempt {
    request_traits traits;
    attempt_state state = attempt_state::Lost;
    /** The upstream has begun to answer, and its answer can't be passed on (call_failure::Malformed). */
    bool hasUnusableAnswer = false;
    /** Time until the request's deadline. */
    duration remaining {};
};

/** How an attempt ended, which determines when its slot can be reused. */
enum class attempt_termination {
    /** No work can still be running at the upstream. */
    Finished,
    /** The connection was lost; the work may run until the request's deadline. */
    Lost,
    /** The call was closed on this side; the work may run until the upstream notices. */
    Cancelled,
};

/** The input of the decision whether to start a call after its slot was granted. */
struct dispatch_timing {
    /** Time from now until the request's deadline. */
    duration remaining {};
    /** Time from the request's arrival until its deadline. */
    duration total {};
    /** The 95th percentile of the service's recent latencies, if there are enough samples. */
    std::optional<duration> p95Latency;
};

/** The input of the decision whether to start a request whose deadline lies after this VM's stop. */
struct stop_timing {
    /** Time from now until the VM stops. */
    duration remaining {};
    /** Zero if the request has none. */
    duration targetLatency {};
    /** The longest duration of recent requests of its kind, if there are enough samples. */
    std::optional<duration> longestRecent;
};

/** The policies of the request path. Each has a default and can be replaced; tests do so to show which failure a policy
 * prevents. */
struct request_policies {
    /** Whether the request's idempotency key must be claimed before dispatch. */
    std::function<bool(const request_traits&)> claimsKey;
    /** The outcome of a request that ends before its claim is resolved; an earlier request with the same key may have
     * run. */
    std::function<outcome(const request_traits&)> unresolvedOutcome;
    /** Whether a call should be started, given the likelihood of an answer before the deadline. */
    std::function<bool(const dispatch_timing&)> shouldStartCall;
    /** Whether a request whose deadline lies after the VM's stop should be started, given the likelihood of an answer
     * before the stop. */
    std::function<bool(const stop_timing&)> shouldStartBeforeStop;
    /** Whether the timeout of a call that was started with these times counts as a failure of the upstream. */
    std::function<bool(const dispatch_timing&)> countsAgainstUpstream;
    /** Whether calls that timed out are added to the latency samples. */
    std::function<bool()> recordsTimeoutLatencies;
    /** Whether a failed attempt may be followed by another one. */
    std::function<bool(const failed_attempt&)> mayRetry;
    /** Whether an answer is a marked refusal, that is, states that the upstream did not run the request. */
    std::function<bool(const upstream_answer&)> isMarkedRefusal;
    /** Whether callers take an answer with this status as a statement that their request did not run. A request that is
     * not idempotent and may have run is never answered with such a status. */
    std::function<bool(int status)> statesNotRun;
    /** Whether a call must use a new connection instead of an idle one. */
    std::function<bool(const request_traits&)> needsFreshConnection;
    /** Whether a failed call may mean that the upstream crashed. */
    std::function<bool(call_failure)> mayBeCrash;
    /** Whether retries and hedges are limited by the retry budget. */
    std::function<bool()> limitsRetries;
    /** Whether a retry after this failed attempt is not charged to the budget. */
    std::function<bool(const failed_attempt&)> isExemptFromBudget;
    /** Whether a request of this kind may be hedged when its first attempt is slow. */
    std::function<bool(const request_traits&)> hedges;
    /** Whether a hedge may be started, given whether the service has spare slots. */
    std::function<bool(bool hasSpareSlots)> allowsHedge;
    /** Whether a request that holds its key and has an open attempt continues after its caller has left. */
    std::function<bool(const request_traits&)> continuesWithoutCaller;
    /** Whether the slot of an attempt that ended in this way is kept busy while the work may still run. */
    std::function<bool(attempt_termination)> keepsSlotBusy;
    /** Whether a claim that is applied after its proposal timed out is released. */
    std::function<bool()> releasesLateClaims;
    /** Whether a stopping service refuses new requests after `lameDuckTime`. */
    std::function<bool()> refusesWhileStopping;
};

request_policies defaultRequestPolicies();

/** Limits of the request path of one VM. */
struct request_options {
    /** The maximum number of requests that run or wait for a slot. */
    std::size_t maximumRequests = 4096;
    /** The maximum total size of the bodies of these requests. */
    byte_count maximumBodyBytes { 64 * 1024 * 1024 };
    /** The maximum number of attempts of one request, including hedges. */
    std::size_t maximumAttempts = 4;
    /** How long the work of a cancelled call may still run after its connection was closed: network delay plus the
     * upstream's reaction time. */
    duration cancellationGrace = std::chrono::milliseconds(100);
    /** How long an entry waits for its crash report to be applied before it continues with its local knowledge. */
    duration crashReportTimeout = std::chrono::milliseconds(500);
    /** How long the answer to the caller is delayed after a crash report, so that every entry has applied the report
     * when the caller resends. */
    duration crashReportPropagationTime = std::chrono::milliseconds(250);
    /** How long a stopping service still accepts requests, as callers may have cached this entry; by default the lookup
     * cache time of the VM's settings. */
    std::optional<duration> lameDuckTime;
    crash_guard_options crashes;
    /** Charges requests of client accounts to their quotas; the service "quotas" is then needed. */
    bool chargesQuotas = false;
    /** Limits retries within a sliding window. By default the budget is based on all requests since the start. */
    std::optional<retry_window_options> retryWindow;
    /** If set, requests that need a credential are refused when the last heartbeat that the leader answered was sent
     * longer ago: credentials may have been removed since. */
    std::optional<duration> maximumContactAge;
    /** The minimum time between the read barriers after which unknown credentials are looked up again. Each costs a
     * command of the log, and callers can cause them. */
    duration accountBarrierInterval = std::chrono::milliseconds(100);
    duration accountBarrierTimeout = std::chrono::seconds(1);
    /** The maximum number of requests that wait for such a barrier, and of their bodies' bytes unless only one waits.
     * Further ones are answered by the configuration that this VM has. */
    std::size_t maximumUnidentified = 256;
    byte_count maximumUnidentifiedBytes { 8 * 1024 * 1024 };
    /** How long a stop waits for pending key settlements after the last request ended. */
    duration settlementStopTimeout = std::chrono::seconds(5);
    request_policies policies = defaultRequestPolicies();
};

} // namespace plantainlatch
