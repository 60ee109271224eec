#pragma once

/** \file
 * The callers' requests that are in flight on one HTTP server, whatever the front end's interface is.
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

/** What the exchanges use; all outlive them. */
struct caller_exchange_parts {
    const kernel_hooks& hooks;
    http_server& server;
    request_port& requests;
    metrics& numbers;
    /** Encodes an answer; `head` says that the request was a HEAD. */
    std::function<http_answer(const caller_answer&, bool head)> encode;
    /** How long a stop goes on serving callers that may not know of it yet. */
    duration serveBeforeStop {};
    /** How long a stop may take as a whole; requests that come during it get no more time than is left. */
    std::optional<duration> longestStop;
};

/** Hands requests in, answers each one once, and stops gracefully: each answer ends its connection, callers are served
 * for as long as they may come, and what is in flight is finished. */
class caller_exchanges {
public:
    explicit caller_exchanges(caller_exchange_parts parts);

    void submit(exchange_id exchange, caller_request request);
    /** Answers without handing the request in. */
    void refuse(exchange_id exchange, const caller_answer& answer, bool head);
    /** The caller left. */
    void gone(exchange_id exchange);

    /** Whether new requests must be refused, as this VM has stopped serving. */
    bool refusing() const { return m_refusing; }
    void stop(std::function<void()> stopped);

    state_dump dump() const;

private:
    /** A caller's request that waits for its answer. */
    struct pending_request {
        request_id id;
        service_id service;
        time_point arrived {};
        bool head = false;
    };

    void answer(exchange_id exchange, const caller_answer& answer);
    void stopIfIdle();

    caller_exchange_parts m_parts;
    absl::flat_hash_map<exchange_id, pending_request> m_pending;
    bool m_refusing = false;
    /** When what is in flight must have ended, once this VM stops. */
    std::optional<time_point> m_stopBy;
    std::function<void()> m_stopped;
};

} // namespace plantainlatch
