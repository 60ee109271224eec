#pragma once

/** \file
 * The port through which the request path acquires and releases slots: each slot is the right to run one request on an
 * upstream.
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

/** Identifies an acquired slot within this VM. */
using slot_handle = strong_number<struct slot_handle_tag>;

/** What the matched route prescribes for a request. */
struct routing_policy {
    /** Empty when no route matched the request. */
    route_id route;
    /** The object of its service that the request reads or changes, for affinity; empty without one. */
    std::string object;
    /** The only regions that may serve it; any if empty. */
    std::vector<region_id> allowedRegions;
    /** The latency that routing aims for; a later answer is still useful. */
    duration targetLatency {};
    /** 0 is the most urgent. */
    std::uint32_t priority = 0;
    /** Upper bound on the upstreams that are tried; 0 for the default of the request path. */
    std::size_t maximumAttempts = 0;
};

/** A request for one slot of a service. */
struct slot_request {
    service_id service;
    /** When the wait ends without a slot, on this VM's clock. */
    time_point deadline;
    /** Upstreams of earlier attempts; used only when no other has an idle slot. */
    std::vector<upstream_id> avoid;
    /** Bytes to send; charged to the link budget when the upstream is in another region. */
    byte_count bodySize;
    routing_policy policy;
    /** Called when an acquired slot should not be used to begin a dispatch any more, because the upstream wants no
     * further requests. May also be called after the slot was released. */
    std::function<void()> onRevoked;
};

/** An acquired slot; it must be released. */
struct held_slot {
    slot_handle handle;
    upstream_announcement upstream;
    /** No request may be dispatched on the slot after this time, on this VM's clock. */
    time_point dispatchBefore;
};

enum class slot_refusal {
    /** No usable upstream of the service is known. */
    NoUpstream,
    /** No slot became free before the deadline, or none was expected to become free in time. */
    Overloaded,
};

/** The outcome of the request that used a slot, for latency statistics, ejection and the ramp-up of new upstreams. */
struct slot_result {
    enum class kind {
        /** Released unused. */
        Unused,
        Answered,
        /** The upstream refused the request: it reported that it did not execute it, or answered with a 503. */
        Shed,
        /** The upstream answered with another 5xx. */
        Failed,
        ConnectFailed,
        Lost,
        Timeout,
        /** The caller disconnected; the upstream may still run the request. */
        Cancelled,
    };
    kind ended = kind::Unused;
    /** From dispatch to the answer or failure. */
    duration latency {};
    /** The size of the answer; charged to the link budget when the upstream is in another region. */
    byte_count answerSize;
    /** The time until which the request may still run at the upstream, on this VM's clock. The slot is not reused
     * before that time. */
    std::optional<time_point> busyUntil;
    /** What the upstream reported about itself with its answer. */
    answer_metadata metadata;
};

/** A slot or the reason why there is none. */
struct slot_answer {
    std::optional<held_slot> slot;
    slot_refusal refusal = slot_refusal::NoUpstream;
    /** When a slot can be expected, if that is known. */
    std::optional<duration> retryAfter;
    /** Log fields with the inputs of the decision. */
    std::vector<log_field> inputs;
};

/** Identifies a queued slot request; 0 is none. */
using slot_ticket = strong_number<struct slot_ticket_tag>;

/** Published by slot_service and by placement_service. */
struct slot_port {
    /** Calls back once, possibly before it returns, unless cancelWait() is called with the ticket first. */
    std::function<slot_ticket(slot_request, std::function<void(slot_answer)>)> acquire;
    std::function<void(slot_ticket)> cancelWait;
    std::function<void(slot_handle, slot_result)> release;
};

} // namespace plantainlatch
