#pragma once

/** \file
 * The HTTP front end for operators: declarations, drains, status, the state dump and metrics.
 */

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "kernel/service.h"
#include "ports/operator_port.h"
#include "services/http_server.h"
#include "services/metrics.h"

namespace plantainlatch {

/** Translates `/v1/declarations`, `/v1/plan`, `/v1/drains`, `/v1/history`, `/v1/status`, `/v1/dump` and `/metrics`.
 *
 * A declaration is sent as its YAML text; the header field X-File-Name gives the file name that findings refer to. */
class operator_front {
public:
    /** `dump` returns the state dump of all services. */
    static std::unique_ptr<operator_front> create(std::function<state_dump()> dump);

    /** The kernel service; it depends on "http_server", "operators" and "metrics". */
    service asService();

private:
    /** Answers requests with one method and path. */
    using handler = std::function<void(exchange_id, const http_request_view&)>;

    explicit operator_front(std::function<state_dump()> dump);

    absl::Status start(registry& services);
    void addPath(const std::string& path, std::string_view method, handler answer);
    void apply(exchange_id exchange, const http_request_view& request);
    void plan(exchange_id exchange, const http_request_view& request);
    void drain(exchange_id exchange, const http_request_view& request);
    void history(exchange_id exchange, const http_request_view& request);
    void answerJson(exchange_id exchange, std::string json);

    std::function<state_dump()> m_dump;
    http_server* m_server = nullptr;
    operator_port* m_operators = nullptr;
    metrics* m_metrics = nullptr;
};

} // namespace plantainlatch
