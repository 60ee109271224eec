#pragma once

/** \file
 * Requests and answers, independent of their encoding on the wire.
 */

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/outcome.h"
#include "model/shared_body.h"
#include "model/upstream.h"

namespace plantainlatch {

struct header_field {
    std::string name;
    std::string value;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.name, self.value);
    }
};

/** A complete request of a caller. Either the caller names the service, or a route selects it by host and path. */
struct caller_request {
    /** Empty until a route has selected it, if the caller does not name the service. */
    service_id service;
    /** The host that selects the route; empty if the caller names the service. */
    std::string host;
    /** The request id that the caller chose (X-Request-Id); empty if there is none. */
    std::string name;
    /** Identifies the object that the request is about, for routing by affinity; empty if there is none. */
    std::string affinity;
    std::string method;
    /** Path and query, beginning with `/`; if the caller names the service, without the prefix `/s/{service}`. */
    std::string target;
    std::vector<header_field> headers;
    shared_body body;
    /** How long the caller waits, counted from the arrival of the request; by default the service's default deadline.
     */
    std::optional<duration> deadline;
    /** If the VM is stopping: the time, counted from the arrival of the request, by which it must be answered. */
    std::optional<duration> stopsIn;
    std::optional<idempotency_key> key;
    /** Identifies the client account; empty if there is none. A secret: never logged or passed on. */
    std::string credential;
    /** The account that has the credential; empty until it is known, and for requests without an account. */
    account_id account;
    /** The address from which the request came. */
    caller_address sentFrom;
};

/** What an upstream reports about itself and the request together with its answer. */
struct answer_metadata {
    /** The upstream guarantees that it did not run the request. */
    bool notRun = false;
    /** Another upstream now has the address; it did not run the request. The rest of the metadata is that one's. */
    bool wrongInstance = false;
    /** The upstream will end soon and wants no further requests. */
    bool draining = false;
    /** How long the upstream, which refused the request, wants no requests from this VM. */
    std::optional<duration> retryAfter;
    std::optional<load_report> load;
    /** The remaining time of the upstream's cold start, if it reports one. */
    std::optional<duration> coldFor;
};

/** A complete answer of an upstream. */
struct upstream_answer {
    int status = 0;
    std::vector<header_field> headers;
    std::string body;
    /** This field is not encoded with the answer, so it is not stored for idempotency keys either. */
    answer_metadata metadata;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.status, self.headers, self.body);
    }
};

/** Whether the upstream answered, or else why the system answered itself; used in the reason header and the metrics. */
enum class answer_reason {
    /** The upstream answered. */
    Upstream,
    UnknownService,
    /** No route matches the host and path. */
    UnknownRoute,
    MalformedRequest,
    BodyTooLarge,
    /** No slot became free before the deadline, or none was expected to become free in time. */
    Overloaded,
    /** No healthy upstream is known. */
    NoUpstream,
    DeadlineExceeded,
    /** The connection to the upstream was lost after dispatch. */
    ConnectionLost,
    /** Equal requests crashed upstreams. */
    CrashingRequest,
    /** The idempotency key was used with a different request. */
    KeyReused,
    /** The idempotency key could not be claimed in the replicated log. */
    KeyUnavailable,
    /** The first request with the idempotency key is still running, or its outcome is unknown. */
    KeyTaken,
    /** This VM is shutting down. */
    Draining,
    /** The first request with the idempotency key ran, but its answer was too large to keep. */
    AnswerNotKept,
    /** This VM does not have the current configuration; another VM may have it. */
    NotReady,
    /** No account has the request's credential. */
    UnknownCredential,
    /** The account's quota is used up. */
    QuotaExceeded,
};

/** The value of the reason header: lower case with hyphens. */
std::string_view answerReasonName(answer_reason value);

/** The answer to a caller. */
struct caller_answer {
    outcome result = outcome::NotRun;
    answer_reason reason = answer_reason::Upstream;
    upstream_answer content;
    /** When the caller should try again, if that may help. */
    std::optional<duration> retryAfter;
    /** The matched route; empty if the caller named the service or the request was refused before admission. */
    route_id route;
    /** Empty if the request was refused before admission. */
    service_id service;
};

} // namespace plantainlatch
