#pragma once

/** \file
 * Services, limits and statistics that all requests of one VM share.
 */

#include <cstdint>
#include <functional>
#include <optional>

#include "decision/request/crash_guard.h"
#include "decision/request/hedge_policy.h"
#include "decision/request/key_claims.h"
#include "decision/request/request_durations.h"
#include "decision/request/request_options.h"
#include "kernel/hooks.h"
#include "ports/slot_port.h"
#include "ports/upstream_port.h"

namespace plantainlatch {

/** Counters since the start of the VM. */
struct request_statistics {
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    std::uint64_t replayed = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t inProgress = 0;
    /** Requests whose caller left before the answer. */
    std::uint64_t abandoned = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    /** Calls that were dispatched after the slot's `dispatchBefore`. The upstream port must prevent this, so any count
     * above 0 is a fault. */
    std::uint64_t lateDispatches = 0;
};

/** Whose limit is the earliest, and so is the deadline of a request. */
enum class deadline_source {
    Caller,
    /** The time limit of the route, or the maximum or default deadline of the service. */
    Declaration,
    /** The end of this VM's stop. */
    Stop,
};

/** A request that was admitted, with its routing policy and limits. */
struct admitted_request {
    request_id id;
    caller_request content;
    request_traits traits;
    routing_policy policy;
    request_fingerprint fingerprint;
    /** Differs between callers, unlike `fingerprint`. */
    request_fingerprint callerFingerprint;
    time_point arrivedAt;
    time_point deadline;
    deadline_source limitedBy = deadline_source::Declaration;
    /** When this VM stops, if the request arrived during its stop. */
    std::optional<time_point> stopAt;
    duration keyRetention {};
    /** This VM's share of the limit on connections from all VMs to one upstream. */
    std::uint32_t connectionLimit = 1;
};

/** The services that requests use; all of them outlive the requests. */
struct request_environment {
    const kernel_hooks& hooks;
    const request_options& options;
    slot_port& slots;
    upstream_port& upstreams;
    key_claims& claims;
    crash_guard& crashes;
    /** Charges one retry or hedge to the service's retry budget; false if the budget is exhausted. */
    std::function<bool(const service_id&)> tryAcquireRetry;
    hedge_policy& hedges;
    request_durations& durations;
    request_statistics& statistics;
    /** Returns a call id that was not used before. */
    std::function<call_id()> nextCall;
};

} // namespace plantainlatch
