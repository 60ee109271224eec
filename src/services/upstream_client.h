#pragma once

/** \file
 * The HTTP client for upstreams; implements the service "upstreams".
 */

#include <memory>

#include "kernel/service.h"
#include "ports/upstream_port.h"
#include "services/upstream_connections.h"
#include "services/upstream_dialect.h"

namespace plantainlatch {

struct upstream_client_options {
    upstream_connection_limits connections;
    /** The maximum time to establish a connection, even if the call has more time left. */
    duration connectTimeout = std::chrono::seconds(1);
    upstream_dialect dialect = ownDialect();
    /** Counts the answers, and must outlive the client; if it is null, the client has one of its own. */
    buffer_budget* budget = nullptr;
};

/** Calls upstreams with evhttp and checks that each answer is valid HTTP (http_answer_validator) and complete.
 *
 * A body that is delimited only by the end of the connection can't be distinguished from a truncated one, so the answer
 * is Malformed unless the dialect allows such bodies. Each call has a unique name, by default in X-Plantainlatch-Call;
 * an answer that echoes another name fails the call with OtherAnswer. If the dialect says that upstreams echo the name,
 * so does an answer without it on a connection that has carried an earlier call. */
class upstream_client {
public:
    static std::unique_ptr<upstream_client> create(
        event_base* base, const kernel_hooks& hooks, upstream_client_options options = {});
    ~upstream_client();

    /** The kernel service; the client must outlive the kernel. */
    service asService();

    upstream_port& port() { return m_port; }

private:
    struct implementation;
    explicit upstream_client(std::unique_ptr<implementation> parts);

    std::unique_ptr<implementation> m_parts;
    upstream_port m_port;
};

} // namespace plantainlatch
