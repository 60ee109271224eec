#pragma once

/** \file
 * The HTTP front end for callers: requests to services, and look-ups of the entries to use.
 */

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "kernel/hooks.h"
#include "kernel/service.h"
#include "model/vm_settings.h"
#include "ports/request_port.h"
#include "services/caller_exchanges.h"
#include "services/entry_answers.h"
#include "services/http_server.h"
#include "services/metrics.h"

namespace plantainlatch {

struct caller_front_options {
    /** The maximum time until the other VMs have removed a stopping VM from their entry lists. */
    duration listPropagation = std::chrono::seconds(1);
};

/** Translates `/s/{service}/...` to request_port and `GET /v1/entries` to entry_list_port.
 *
 * The stop is graceful (lame duck): this VM is removed from the entry lists that it returns, each answer closes its
 * connection, requests are served until no caller can still hold a cached list with this VM (`lookupCacheTime` plus
 * `listPropagation`), and the requests in flight are finished. */
class caller_front {
public:
    static constexpr const char* serviceName = "caller_front";

    static std::unique_ptr<caller_front> create(
        const kernel_hooks& hooks, const vm_settings& settings, caller_front_options options = {});

    /** The kernel service; it depends on "http_server", "requests", "entry_list" and "metrics". */
    service asService();

private:
    caller_front(const kernel_hooks& hooks, const vm_settings& settings, caller_front_options options);

    absl::Status start(registry& services);
    void handleRequest(exchange_id exchange, const http_request_view& request);
    void handleLookup(exchange_id exchange, const http_request_view& request);
    void stop(std::function<void()> stopped);

    kernel_hooks m_hooks;
    vm_id m_self;
    duration m_lameDuckTime;
    http_server* m_server = nullptr;
    metrics* m_metrics = nullptr;
    std::optional<entry_answers> m_entries;
    std::optional<caller_exchanges> m_exchanges;
};

/** Parses a request to `/s/{service}/...` and drops its hop-by-hop fields; InvalidArgument for an invalid service name,
 * idempotency key or timeout. */
absl::StatusOr<caller_request> readCallerRequest(const http_request_view& request);

} // namespace plantainlatch
