#pragma once

/** \file
 * The front end for callers: requests to services, and which entries to use.
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

/** Times of the front end. */
struct caller_front_options {
    /** How long the other VMs take to leave a stopping VM out of their entry lists. */
    duration listPropagation = std::chrono::seconds(1);
};

/** Translates `/s/{service}/...` to request_port and `GET /v1/entries` to entry_list_port.
 *
 * Its stop is graceful: it leaves this VM out of its entry lists, ends each connection with its answer, serves for as
 * long as callers may be given or cache a list with it, and waits for the requests in flight. */
class caller_front {
public:
    static constexpr const char* serviceName = "caller_front";

    static std::unique_ptr<caller_front> create(
        const kernel_hooks& hooks, const vm_settings& settings, caller_front_options options = {});

    /** The kernel service; it needs "http_server", "requests", "entry_list" and "metrics". */
    service asService();

private:
    caller_front(const kernel_hooks& hooks, const vm_settings& settings, caller_front_options options);

    absl::Status start(registry& services);
    void steer(exchange_id exchange, const http_request_view& request);
    void lookUp(exchange_id exchange, const http_request_view& request);
    void stop(std::function<void()> stopped);

    kernel_hooks m_hooks;
    vm_id m_self;
    duration m_serveBeforeStop;
    http_server* m_server = nullptr;
    metrics* m_metrics = nullptr;
    std::optional<entry_answers> m_entries;
    std::optional<caller_exchanges> m_exchanges;
};

/** The request that `/s/{service}/...` stands for, without hop-by-hop fields; InvalidArgument for a bad service name,
 * key or timeout. */
absl::StatusOr<caller_request> readCallerRequest(const http_request_view& request);

} // namespace plantainlatch
