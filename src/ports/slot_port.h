#pragma once

/** \file
 * The hooks by which the request path gets the right to use an upstream.
 */

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/units.h"
#include "kernel/hooks.h"
#include "model/http.h"
#include "model/upstream.h"

namespace plantainlatch {

/** A slot that is held; numbered within this VM. */
using slot_handle = strong_number<struct slot_handle_tag>;

/** The terms under which a request is steered. */
struct routing_policy {
    /** Empty for a request that no route selected. */
    route_id route;
    /** Names the object that the request concerns within its service; empty without one. */
    std::string object;
    /** The only regions that may serve it; any if empty. */
    std::vector<region_id> allowedRegions;
    /** The time within which the answer is worth most. */
    duration targetLatency {};
    /** 0 is the most urgent. */
    std::uint32_t priority = 0;
    /** The most upstreams that it is offered to; 0 for the path's own bound. */
    std::size_t maximumAttempts = 0;
};

/** What is asked of the slots. */
struct slot_request {
    service_id service;
    /** The wait ends here, on this VM's clock. */
    time_point deadline;
    /** Failure domains and upstreams of earlier attempts, to be avoided where others have room. */
    std::vector<upstream_id> avoid;
    /** Bytes to send, for the budget between regions. */
    byte_count bodySize;
    routing_policy policy;
};

/** A slot that the holder may use until it releases it. */
struct held_slot {
    slot_handle handle;
    upstream_announcement upstream;
    /** No new work may be dispatched on it after this moment, on this VM's clock. */
    time_point dispatchBefore;
};

/** Why no slot was given. */
enum class slot_refusal {
    /** No working upstream is known. */
    NoUpstream,
    /** None came free in time, or none was going to. */
    Overloaded,
};

/** How the use of a slot went, for latency, ejection and cold start. */
struct slot_result {
    enum class kind {
        /** Released unused. */
        Unused,
        Answered,
        /** The upstream refused with a marked or a bare 503. */
        Shed,
        /** The upstream answered with another 5xx. */
        Failed,
        ConnectFailed,
        Lost,
        Timeout,
        /** The caller left; the upstream may still run the work. */
        Cancelled,
    };
    kind ended = kind::Unused;
    /** From dispatch to the end. */
    duration latency {};
    /** The size of the answer, for the budget between regions. */
    byte_count answerSize;
    /** The work may still run at the upstream until this moment on this VM's clock; the slot is not reused before. */
    std::optional<time_point> busyUntil;
    /** What the upstream told of itself with its answer. */
    answer_metadata metadata;
};

/** A slot or the reason why there is none. */
struct slot_answer {
    std::optional<held_slot> slot;
    slot_refusal refusal = slot_refusal::NoUpstream;
    /** What decided for the upstream, or against all of them; for the log. */
    std::vector<log_field> inputs;
};

/** A waiting request for a slot; 0 is none. */
using slot_ticket = strong_number<struct slot_ticket_tag>;

/** Slots of upstreams. */
struct slot_port {
    /** Calls back once, perhaps at once; the ticket is for cancelWait(). */
    std::function<slot_ticket(slot_request, std::function<void(slot_answer)>)> acquire;
    std::function<void(slot_ticket)> cancelWait;
    std::function<void(slot_handle, slot_result)> release;
};

} // namespace plantainlatch
