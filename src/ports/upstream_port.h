#pragma once

/** \file
 * The interface through which the decision code calls upstreams. A call is dispatched when the first byte of its
 * request is passed to the operating system; from then on the upstream may run the request.
 */

#include <functional>

#include "absl/status/statusor.h"
#include "core/clock.h"
#include "core/ids.h"
#include "model/address.h"
#include "model/http.h"
#include "model/upstream.h"

namespace plantainlatch {

/** A request to one upstream. */
struct upstream_call {
    call_id id;
    upstream_id upstream;
    network_address address;
    std::string method;
    std::string target;
    std::vector<header_field> headers;
    shared_body body;
    /** The call fails with Timeout after this time. It is also sent to the upstream as the deadline. */
    duration timeout {};
    /** The call fails with ConnectFailed if it is not dispatched within this time. Zero means that only `timeout`
     * applies. */
    duration dispatchTimeout {};
    /** Use a new connection. An idle connection may be dead, and a request that must not be sent twice would be lost on
     * it. */
    bool freshConnection = false;
    /** The maximum number of connections from this VM to the upstream. */
    std::uint32_t connectionLimit = 1;
    /** The caller's X-Request-Id; empty if there is none. */
    std::string requestName;
    /** The client account for which the request is made; empty if there is none. */
    account_id account;
};

/** Why a call failed. Only ConnectFailed and ConnectionLimit guarantee that the call was not dispatched. */
enum class call_failure {
    ConnectFailed,
    ConnectionLimit,
    /** The connection closed after dispatch and before the answer was complete. */
    Lost,
    Timeout,
    /** What arrived can't become an answer: it is not valid HTTP, it is too large, or it has no end but that of the
     * connection where this is not allowed. */
    Malformed,
    /** The answer is that to another call, or may be. */
    OtherAnswer,
};

/** Callbacks of a call. onAnswer or onFailure is the last one. */
struct call_events {
    /** Called just before the call is dispatched. */
    std::function<void()> onDispatch;
    std::function<void(upstream_answer)> onAnswer;
    std::function<void(call_failure)> onFailure;
};

/** Makes calls to upstreams. A connection carries one call at a time and is closed if the call fails. */
struct upstream_port {
    std::function<void(upstream_call, call_events)> start;
    /** Cancels a call by closing its connection; no callback follows. A call that has ended is ignored. */
    std::function<void(call_id)> cancel;
    /** Requests the upstream's load report; fails with DeadlineExceeded or Unavailable. */
    std::function<void(const network_address&, duration timeout, std::function<void(absl::StatusOr<load_report>)>)>
        poll;
    /** Closes the idle connections to an address that is no longer in use. */
    std::function<void(const network_address&)> closeIdleConnections;
};

} // namespace plantainlatch
