#pragma once

/** \file
 * The keep-alive connections to upstreams, each used by one request at a time.
 */

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "core/units.h"
#include "kernel/hooks.h"
#include "model/address.h"

struct event_base;
struct evhttp_connection;
struct evbuffer;
struct evbuffer_cb_info;

namespace plantainlatch {

class upstream_connections;

/** One connection to an upstream. */
struct upstream_connection {
    evhttp_connection* handle = nullptr;
    network_address address;
    upstream_connections* owner = nullptr;
    /** The exchange that uses it; 0 for none. */
    std::uint64_t exchange = 0;
    bool firstByteOffered = false;
    bool sendsWithoutDelay = false;
    bool closed = false;
    bool idle = false;
    time_point idleSince {};
};

/** Bounds on connections. */
struct upstream_connection_limits {
    /** An idle connection is not reused after this time, as something between the ends may have lost track of it. */
    duration idleReuse = std::chrono::seconds(4);
    /** The most idle connections to all upstreams together; further ones are closed. */
    std::size_t maximumIdle = 4096;
    byte_count maximumAnswerHeaders { 64 * 1024 };
    byte_count maximumAnswerBody { 8 * 1024 * 1024 };
};

/** What happens on connections that are in use. */
struct upstream_connection_events {
    /** The first byte of the request enters the output buffer, which is before any byte reaches the operating system.
     */
    std::function<void(upstream_connection&)> onDispatch;
};

/** Opens, keeps and closes connections. */
class upstream_connections {
public:
    upstream_connections(event_base* base, const kernel_hooks& hooks, upstream_connection_limits limits,
        upstream_connection_events events);
    ~upstream_connections();
    upstream_connections(const upstream_connections&) = delete;
    upstream_connections& operator=(const upstream_connections&) = delete;

    /** A connection for one request: an idle one that is still sound unless `fresh`, else a new one that connects with
     * the request; none when the address has `limit` connections in use. */
    upstream_connection* acquire(const network_address& address, std::uint32_t limit, bool fresh);

    /** Keeps a connection whose whole answer was read; closes it if the upstream asked for that or sent more. */
    void release(upstream_connection& connection);

    /** Closes a connection for good; its memory is freed on the next round of the loop. */
    void discard(upstream_connection& connection);

    /** Ends a connection whose first byte is in the output buffer, so that no byte reaches the other end; the call
     * still counts as not offered. */
    void sever(upstream_connection& connection);

    /** Closes the idle connections to an address. */
    void closeIdleConnections(const network_address& address);

    /** Closes all idle connections. */
    void closeIdle();

    /** What request callbacks of the library reach through their connection. */
    void* user() const { return m_user; }
    void setUser(void* user) { m_user = user; }

    std::size_t openCount() const { return m_open; }
    std::size_t idleCount() const { return m_idle; }

private:
    struct pool {
        std::vector<std::unique_ptr<upstream_connection>> all;
    };

    static void outputChanged(evbuffer* buffer, const evbuffer_cb_info* info, void* argument);

    upstream_connection* takeIdle(pool& from);
    upstream_connection* open(pool& into, const network_address& address);
    bool isSound(const upstream_connection& connection) const;
    void closeOneIdle(pool& from);
    void buryLater(std::unique_ptr<upstream_connection> connection);
    void bury();
    void sweep();
    void armSweep();

    event_base* m_base;
    const kernel_hooks& m_hooks;
    upstream_connection_limits m_limits;
    upstream_connection_events m_events;
    std::map<network_address, pool> m_pools;
    std::vector<std::unique_ptr<upstream_connection>> m_dead;
    timer_id m_burial;
    timer_id m_sweep;
    void* m_user = nullptr;
    std::size_t m_open = 0;
    std::size_t m_idle = 0;
};

} // namespace plantainlatch
