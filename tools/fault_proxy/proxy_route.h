#pragma once

/** \file
 * One route of the proxy: an address on which it listens and the target to which it forwards.
 */

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "fault_proxy/fault_set.h"
#include "fault_proxy/proxied_connection.h"
#include "kernel/hooks.h"
#include "model/address.h"

struct event_base;
struct evconnlistener;

namespace plantainlatch {

/** The configuration of a route. */
struct route_spec {
    std::string name;
    network_address listen;
    network_address target;
};

/** Parses `NAME=LISTEN/TARGET`; InvalidArgument for anything else. */
absl::StatusOr<route_spec> parseRoute(const std::string& text);

/** Accepts connections and forwards them to the target with the route's faults. */
class proxy_route {
public:
    /** Unavailable if the address can't be listened on. The hooks must outlive the route. */
    static absl::StatusOr<std::unique_ptr<proxy_route>> create(
        event_base* base, const kernel_hooks& hooks, route_spec spec);
    ~proxy_route();
    proxy_route(const proxy_route&) = delete;
    proxy_route& operator=(const proxy_route&) = delete;

    const route_spec& spec() const { return m_spec; }
    std::uint64_t accepted() const { return m_accepted; }
    std::size_t open() const { return m_connections.size(); }

    void setFaults(const fault_set& faults);
    /** Resets all open connections; new ones are not affected. */
    void cut();
    /** Permanently stops forwarding on all open connections without closing them; new ones are not affected. */
    void silenceOpen();

private:
    proxy_route(event_base* base, const kernel_hooks& hooks, route_spec spec);

    absl::Status listen();
    void accept(int socket);

    event_base* m_base;
    const kernel_hooks& m_hooks;
    route_spec m_spec;
    fault_set m_faults;
    evconnlistener* m_listener = nullptr;
    std::uint64_t m_accepted = 0;
    std::map<std::uint64_t, std::unique_ptr<proxied_connection>> m_connections;
};

} // namespace plantainlatch
