#pragma once

/** \file
 * The hooks by which decisions call upstreams.
 */

#include <functional>

#include "absl/status/statusor.h"
#include "core/clock.h"
#include "core/ids.h"
#include "model/address.h"
#include "model/http.h"
#include "model/upstream.h"

namespace plantainlatch {

/** One attempt to run a request on one upstream. */
struct upstream_call {
    call_id id;
    upstream_id upstream;
    network_address address;
    std::string method;
    std::string target;
    std::vector<header_field> headers;
    std::string body;
    /** Ends the call; also sent to the upstream as its deadline. */
    duration timeout {};
    /** The first byte must be offered within this time, or the call ends as ConnectFailed; zero for no limit of its
     * own.
     */
    duration dispatchTimeout {};
    /** Use a new connection, so that a silent idle one cannot swallow work that must not be sent twice. */
    bool freshConnection = false;
    /** The most connections that this VM may have to the upstream. */
    std::uint32_t connectionLimit = 1;
    /** The caller's own name for the request; empty without one. */
    std::string requestName;
};

/** Why a call failed; only the first two promise that no byte was offered to the upstream. */
enum class call_failure {
    ConnectFailed,
    ConnectionLimit,
    /** The connection ended before a whole answer, after the first byte was offered. */
    Lost,
    Timeout,
    /** The answer was no whole HTTP answer to this request. */
    Malformed,
};

/** What happens to a call; after onAnswer or onFailure nothing more does. */
struct call_events {
    /** Called before the first byte of the request is offered to the operating system. */
    std::function<void()> onDispatch;
    std::function<void(upstream_answer)> onAnswer;
    std::function<void(call_failure)> onFailure;
};

/** Calls to upstreams; one request in flight to a connection, and a connection with a failed call is closed. */
struct upstream_port {
    std::function<void(upstream_call, call_events)> start;
    /** Closes the call's connection; no event follows. A call that has ended is ignored. */
    std::function<void(call_id)> cancel;
    /** Asks the upstream for its load; fails with DeadlineExceeded or Unavailable. */
    std::function<void(const network_address&, duration timeout, std::function<void(absl::StatusOr<load_report>)>)>
        poll;
    /** Closes the idle connections to an address that has gone. */
    std::function<void(const network_address&)> closeIdleConnections;
};

} // namespace plantainlatch
