#pragma once

/** \file
 * The service that calls upstreams over HTTP.
 */

#include <memory>

#include "kernel/service.h"
#include "ports/upstream_port.h"
#include "services/upstream_connections.h"
#include "services/upstream_dialect.h"

namespace plantainlatch {

/** Bounds and times of the client. */
struct upstream_client_options {
    upstream_connection_limits connections;
    /** A connection that is not established by then has failed, also when the call has more time. */
    duration connectTimeout = std::chrono::seconds(1);
    upstream_dialect dialect = ownDialect();
};

/** Calls upstreams with evhttp and checks that each answer is whole; published as "upstreams".
 *
 * An answer counts as whole when it has a Content-Length that is met, ends its chunks, or can have no body. One that
 * only the end of the connection delimits is Malformed, as it can't be told from a cut one. A call carries its name in
 * X-Plantainlatch-Call; an answer that echoes another name is Malformed. */
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
