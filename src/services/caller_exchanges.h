#pragma once

/** \file
 * Tracks the callers' requests in flight on one HTTP server; shared by the front ends, whose interfaces differ.
 */

#include <functional>
#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "kernel/hooks.h"
#include "kernel/state_dump.h"
#include "ports/request_port.h"
#include "services/http_server.h"
#include "services/metrics.h"

namespace plantainlatch {

/** Dependencies and options of caller_exchanges; the references must outlive it. */
struct caller_exchange_parts {
    const kernel_hooks& hooks;
    http_server& server;
    request_port& requests;
    metrics& numbers;
    /** Encodes an answer; `head` is set if the request was a HEAD. */
    std::function<http_answer(caller_answer, bool head)> encode;
    /** How long requests are still served after the stop began, for callers whose entry lists still contain this VM. */
    duration lameDuckTime {};
    /** The maximum duration of the stop. The deadlines of requests that arrive during the stop are shortened to
     * its remaining time, and requests that are still incomplete at its end are not awaited. */
    std::optional<duration> maximumStopTime;
};

/** Submits requests and answers each one once, unless its caller disconnects. The stop is graceful: each answer closes
 * its connection, new requests are served for `lameDuckTime`, and requests in flight are finished. */
class caller_exchanges {
public:
    explicit caller_exchanges(caller_exchange_parts parts);

    void submit(exchange_id exchange, caller_request request);
    /** Answers without submitting the request. */
    void refuse(exchange_id exchange, caller_answer answer, bool head);
    /** Cancels the request of a caller that disconnected before its answer. */
    void callerDisconnected(exchange_id exchange);

    /** Whether new requests must be refused because this VM has stopped serving. */
    bool refusing() const { return m_refusing; }
    void stop(std::function<void()> stopped);

    state_dump dump() const;

private:
    /** A request that was submitted and is not answered yet. */
    struct pending_request {
        request_id id;
        service_id service;
        time_point arrived {};
        bool head = false;
    };

    void answer(exchange_id exchange, caller_answer answer);
    void stopIfIdle();

    caller_exchange_parts m_parts;
    absl::flat_hash_map<exchange_id, pending_request> m_pending;
    bool m_refusing = false;
    /** Set by a stop with a maximum duration; requests that arrive during the stop get no later deadline. */
    std::optional<time_point> m_stopDeadline;
    std::function<void()> m_stopped;
};

} // namespace plantainlatch
