#pragma once

/** \file
 * The HTTP server of a VM: it receives whole requests, hands them to routes, and writes encoded answers.
 */

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "kernel/hooks.h"
#include "kernel/service.h"
#include "model/vm_settings.h"
#include "services/http_answer.h"
#include "services/http_request_view.h"

struct event_base;

namespace plantainlatch {

/** One request that waits for its answer; unique within a server. */
using exchange_id = strong_number<struct http_exchange_tag>;

/** Who answers the requests of one path prefix. */
struct http_route {
    std::string prefix;
    std::function<void(exchange_id, const http_request_view&)> onRequest;
    /** The caller left before its answer; may be empty. */
    std::function<void(exchange_id)> onGone;
};

/** Bounds of the server. */
struct http_server_options {
    caller_limits limits;
    std::size_t maximumConnections = 10'000;
    /** A request must arrive, and an answer be taken, within this time of silence. */
    duration idleTimeout = std::chrono::seconds(60);
    /** At a stop, how long a request that has begun to arrive may take to arrive as a whole. */
    duration unfinishedGrace = std::chrono::seconds(5);
    /** The name under which it is published. */
    std::string name = "http_server";
};

/** Receives requests; published as "http_server" or under the name of its options. Malformed and oversized requests are
 * answered here. */
class http_server {
public:
    static constexpr const char* serviceName = "http_server";

    /** Fails when the address can't be bound. */
    static absl::StatusOr<std::unique_ptr<http_server>> create(
        event_base* base, const kernel_hooks& hooks, const network_address& address, http_server_options options = {});
    ~http_server();

    /** The kernel service; the server must outlive the kernel. */
    service asService();

    /** Adds a route; the longest prefix that fits a path wins. */
    void addRoute(http_route route);

    /** Answers a request; one whose caller has left is ignored. */
    void respond(exchange_id exchange, const http_answer& answer);

    /** From now on each answer ends its connection. */
    void closeAfterAnswers();
    /** Accepts no further connections and closes those without a request. */
    void stopListening();

    /** Where it listens; a port given as 0 is the one that the operating system chose. */
    network_address address() const;
    /** Requests that wait for their answers. */
    std::size_t inFlight() const;
    std::size_t connections() const;

private:
    struct implementation;
    explicit http_server(std::unique_ptr<implementation> parts);

    void stop(std::function<void()> stopped);
    void closeUnfinished();

    std::unique_ptr<implementation> m_parts;
};

} // namespace plantainlatch
