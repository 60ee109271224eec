#pragma once

/** \file
 * Requests and answers as the decisions see them, free of any encoding.
 */

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/outcome.h"
#include "model/upstream.h"

namespace plantainlatch {

/** One header field. */
struct header_field {
    std::string name;
    std::string value;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.name, self.value);
    }
};

/** A whole request of a caller, to a service that it names or to where a route sends it. */
struct caller_request {
    service_id service;
    /** The host that selects the route; empty when the caller names the service. */
    std::string host;
    /** The caller's own name for the request; empty without one. */
    std::string name;
    /** Names the object that the request concerns; empty without one. */
    std::string affinity;
    std::string method;
    /** Path and query behind `/s/{service}`, beginning with `/`. */
    std::string target;
    std::vector<header_field> headers;
    std::string body;
    /** How long the caller waits, counted from the arrival; the service's default without one. */
    std::optional<duration> deadline;
    std::optional<idempotency_key> key;
};

/** What an upstream tells of itself beside its answer. */
struct answer_metadata {
    /** It promises that it did not run the request. */
    bool notRun = false;
    /** Another upstream than the expected one has the address, and did not run the request. */
    bool wrongInstance = false;
    std::optional<load_report> load;
    /** How long it still is cold, if it says so. */
    std::optional<duration> coldFor;
};

/** An upstream's whole answer. */
struct upstream_answer {
    int status = 0;
    std::vector<header_field> headers;
    std::string body;
    /** Not kept with the answers of idempotency keys. */
    answer_metadata metadata;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.status, self.headers, self.body);
    }
};

/** Why the system itself answered, for the answer's reason header and the metrics. */
enum class answer_reason {
    /** The upstream answered. */
    Upstream,
    UnknownService,
    /** No route fits the host and path. */
    UnknownRoute,
    MalformedRequest,
    BodyTooLarge,
    /** No slot came free before the deadline, or none was going to. */
    Overloaded,
    /** No working upstream is known. */
    NoUpstream,
    DeadlineExceeded,
    /** The connection to the upstream was lost after dispatch. */
    ConnectionLost,
    /** Equal requests have crashed upstreams. */
    CrashingRequest,
    /** The idempotency key was used with another request. */
    KeyReused,
    /** The idempotency key's claim could not be agreed. */
    KeyUnavailable,
    /** The idempotency key's first request is still running, or was lost. */
    KeyTaken,
    /** This VM is shutting down. */
    Draining,
    /** The key's work ran, but its answer was too large to keep. */
    AnswerNotKept,
    /** This VM has not yet learned what is declared; another one has. */
    NotReady,
};

/** The reason as it stands in the answer's header, in lower case with hyphens. */
std::string_view answerReasonName(answer_reason value);

/** What a caller gets back. */
struct caller_answer {
    outcome result = outcome::NotRun;
    answer_reason reason = answer_reason::Upstream;
    upstream_answer content;
    /** When to try again, if that is worth it. */
    std::optional<duration> retryAfter;
    /** What selected the upstream's service, and the service; empty where the request was refused before. */
    route_id route;
    service_id service;
};

} // namespace plantainlatch
