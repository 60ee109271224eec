#pragma once

/** \file
 * What the requests of one VM share.
 */

#include <cstdint>
#include <functional>

#include "decision/request/crash_guard.h"
#include "decision/request/hedge_policy.h"
#include "decision/request/key_claims.h"
#include "decision/request/request_options.h"
#include "kernel/hooks.h"
#include "ports/slot_port.h"
#include "ports/upstream_port.h"

namespace plantainlatch {

/** Counts since the start. */
struct request_statistics {
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    std::uint64_t replayed = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t inProgress = 0;
    std::uint64_t abandoned = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    /** First bytes offered after the slot's dispatchBefore; the upstream port should let none through. */
    std::uint64_t lateDispatches = 0;
};

/** One request after its admission. */
struct admitted_request {
    request_id id;
    caller_request content;
    request_traits traits;
    routing_policy policy;
    request_fingerprint fingerprint;
    time_point arrivedAt;
    time_point deadline;
    duration keyRetention {};
    /** This VM's part of the connections to one upstream. */
    std::uint32_t connectionLimit = 1;
};

/** The parts that requests use; all outlive them. */
struct request_environment {
    const kernel_hooks& hooks;
    const request_options& options;
    slot_port& slots;
    upstream_port& upstreams;
    key_claims& claims;
    crash_guard& crashes;
    /** Takes one retry or hedge of a service's requests out of the budget; false when it is spent. */
    std::function<bool(const service_id&)> spendRetry;
    hedge_policy& hedges;
    request_statistics& statistics;
    /** A call number that was not used before. */
    std::function<call_id()> nextCall;
};

} // namespace plantainlatch
