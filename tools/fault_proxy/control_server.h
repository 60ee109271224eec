#pragma once

/** \file
 * The HTTP interface for injecting faults into the routes of the proxy.
 */

#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "fault_proxy/proxy_route.h"

struct evhttp;
struct evhttp_request;

namespace plantainlatch {

/** `GET /routes` lists all routes. `PUT /routes/NAME/faults` replaces the faults of a route with those in the JSON
 * body. `POST /routes/NAME/cut` resets its open connections. `POST /routes/NAME/silence-open` permanently stops
 * forwarding on its open connections without closing them. A NAME that ends with `*` selects all routes with this
 * prefix. */
class control_server {
public:
    /** Unavailable if the address can't be listened on. The routes must outlive the server. */
    static absl::StatusOr<std::unique_ptr<control_server>> create(
        event_base* base, const network_address& address, std::vector<std::unique_ptr<proxy_route>>& routes);
    ~control_server();
    control_server(const control_server&) = delete;
    control_server& operator=(const control_server&) = delete;

private:
    explicit control_server(std::vector<std::unique_ptr<proxy_route>>& routes);

    void handle(evhttp_request* request);
    void runCommand(evhttp_request* request, const std::string& name, const std::string& command);
    std::string routesAsJson() const;
    std::vector<proxy_route*> findRoutes(const std::string& name) const;

    std::vector<std::unique_ptr<proxy_route>>& m_routes;
    evhttp* m_server = nullptr;
};

} // namespace plantainlatch
