#pragma once

/** \file
 * The HTTP server of a VM. It receives requests, dispatches complete ones to routes and writes encoded answers.
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
#include "ports/caller_check.h"
#include "services/buffer_budget.h"
#include "services/http_answer.h"
#include "services/http_request_view.h"

struct event_base;

namespace plantainlatch {

/** Identifies a request that is not answered yet; unique within a server. */
using exchange_id = strong_number<struct http_exchange_tag>;

/** The handler of requests whose path begins with a prefix. */
struct http_route {
    std::string prefix;
    std::function<void(exchange_id, const http_request_view&)> onRequest;
    /** Called if the caller disconnects before its answer; may be empty. */
    std::function<void(exchange_id)> onDisconnect;
};

struct http_server_options {
    caller_limits limits;
    /** When there are more connections, the one that has been idle or unfinished for longest is closed, or the new one
     * if all requests are being handled. */
    std::size_t maximumConnections = 10'000;
    /** The share of the process's descriptors that connections may use. */
    double descriptorShare = 0.5;
    /** A connection is closed if for this time no byte of the next request arrives or no byte of an answer can be
     * written. */
    duration idleTimeout = std::chrono::seconds(60);
    /** A request is answered 408 if for this time no byte of its body arrives. */
    duration bodyTimeout = std::chrono::seconds(20);
    /** During a stop, connections whose request is still incomplete after this time are closed. */
    duration unfinishedGrace = std::chrono::seconds(5);
    /** The header field whose value names a request in log lines; empty for none. */
    std::string nameField;
    /** The name under which the server is published. */
    std::string name = "http_server";
    /** Shared by the servers of a VM, and must outlive them; if it is null, the server has one of its own. */
    buffer_budget* budget = nullptr;
};

/** Published as "http_server" or under the name in its options. Malformed and oversized requests are answered by the
 * server itself. */
class http_server {
public:
    static constexpr const char* serviceName = "http_server";

    /** Unavailable if the address can't be bound. */
    static absl::StatusOr<std::unique_ptr<http_server>> create(
        event_base* base, const kernel_hooks& hooks, const network_address& address, http_server_options options = {});
    ~http_server();

    /** The kernel service; the server must outlive the kernel. */
    service asService();

    /** Adds a route; a request goes to the route with the longest matching prefix. */
    void addRoute(http_route route);

    /** Answers a request; no effect if its caller has disconnected. */
    void respond(exchange_id exchange, const http_answer& answer);

    /** Returns a check whether the sender of a request still waits for its answer, as far as its connection shows. The
     * server must outlive it. */
    caller_check senderCheck(exchange_id exchange) const;

    /** From now on each answer closes its connection. */
    void closeAfterAnswers();
    /** Stops accepting connections and closes the idle ones. */
    void stopListening();
    /** Closes the connections whose request is still incomplete. */
    void closeUnfinished();

    /** The address it listens on, with the port that the operating system chose if 0 was given. */
    network_address address() const;
    /** The number of requests that are not answered yet. */
    std::size_t inFlight() const;
    std::size_t connections() const;
    /** The budget that counts the requests; their handlers can count what they need besides. */
    buffer_budget& budget();

private:
    struct implementation;
    explicit http_server(std::unique_ptr<implementation> parts);

    void stop(std::function<void()> stopped);

    std::unique_ptr<implementation> m_parts;
};

} // namespace plantainlatch
