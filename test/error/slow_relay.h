#pragma once

/** \file
 * A TCP relay that passes on a limited number of bytes per second, like a slow link.
 */

#include <cstddef>
#include <functional>
#include <list>
#include <memory>

#include "model/address.h"
#include "runtime/event_loop.h"
#include "runtime/tcp_listener.h"

struct bufferevent;
struct ev_token_bucket_cfg;

namespace plantainlatch {

/** Limits what the connecting side sends; answers pass at once. A connection that one side closes is closed on the
 * other side too, and what was in transit is lost. */
class slow_relay {
public:
    slow_relay(
        event_loop& loop, const network_address& address, const network_address& target, std::size_t bytesPerSecond);
    ~slow_relay();
    slow_relay(const slow_relay&) = delete;
    slow_relay& operator=(const slow_relay&) = delete;

    /** Passes on nothing more, like a VM that is frozen; the connections stay open. */
    void freeze();
    std::size_t accepted() const { return m_connections.size(); }

private:
    struct connection {
        bufferevent* from = nullptr;
        bufferevent* to = nullptr;

        void close();
    };

    void accept(int socket);

    event_loop& m_loop;
    network_address m_target;
    ev_token_bucket_cfg* m_limit = nullptr;
    std::unique_ptr<tcp_listener> m_listener;
    std::list<connection> m_connections;
};

} // namespace plantainlatch
