#pragma once

/** \file
 * The HTTP front end for upstreams: announcements, renewals and deregistrations.
 */

#include <memory>

#include "kernel/service.h"
#include "ports/directory_port.h"
#include "services/http_server.h"

namespace plantainlatch {

/** Translates `POST /v1/upstreams` and `DELETE /v1/upstreams/{id}?generation=N` to directory_port. */
class announcement_front {
public:
    static std::unique_ptr<announcement_front> create();

    /** The kernel service; it depends on "http_server" and "directory". */
    service asService();

private:
    announcement_front() = default;

    void receive(exchange_id exchange, const http_request_view& request);
    void announce(exchange_id exchange, const std::string& body);
    void leave(exchange_id exchange, const http_request_view& request);

    http_server* m_server = nullptr;
    directory_port* m_directory = nullptr;
};

} // namespace plantainlatch
