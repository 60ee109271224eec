#pragma once

/** \file
 * The HTTP port over which faults are commanded.
 */

#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "fault_proxy/proxy_route.h"

struct evhttp;
struct evhttp_request;

namespace plantainlatch {

/** `GET /routes` shows all routes. `PUT /routes/NAME/faults` replaces a route's faults by those of the JSON body, `POST
 * /routes/NAME/cut` resets its open connections, `POST /routes/NAME/silence-open` stops them for good. A NAME that ends
 * with `*` stands for all routes that begin so. */
class control_server {
public:
    /** Unavailable when the address can't be listened on. The routes must outlive the server. */
    static absl::StatusOr<std::unique_ptr<control_server>> create(
        event_base* base, const network_address& address, std::vector<std::unique_ptr<proxy_route>>& routes);
    ~control_server();
    control_server(const control_server&) = delete;
    control_server& operator=(const control_server&) = delete;

private:
    explicit control_server(std::vector<std::unique_ptr<proxy_route>>& routes);

    void handle(evhttp_request* request);
    void command(evhttp_request* request, const std::string& name, const std::string& what);
    std::string describe() const;
    std::vector<proxy_route*> matching(const std::string& name) const;

    std::vector<std::unique_ptr<proxy_route>>& m_routes;
    evhttp* m_server = nullptr;
};

} // namespace plantainlatch
