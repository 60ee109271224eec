#pragma once

/** \file
 * Pools of keep-alive connections to upstreams. A connection is used by one request at a time.
 */

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "core/units.h"
#include "kernel/hooks.h"
#include "model/address.h"
#include "services/buffer_budget.h"
#include "services/received_answer.h"

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
    /** The key of the exchange that uses the connection; 0 if there is none. */
    std::uint64_t exchange = 0;
    /** Whether the request's first byte has entered the output buffer. */
    bool dispatched = false;
    /** Whether the connection has carried an earlier request. */
    bool isReused = false;
    /** Whether the options of the socket are set. */
    bool configured = false;
    bool closed = false;
    bool idle = false;
    /** What was received for the current exchange. */
    std::unique_ptr<received_answer> answer;
    /** Nothing is read for now, as there is no memory for more of the answer. */
    bool paused = false;
    /** The exchange is to be failed, as its answer is too large or its memory is needed; further bytes are not counted.
     */
    bool givenUp = false;
    time_point idleSince {};
};

/** The connections to upstreams that leave enough descriptors for those of callers and other VMs. */
std::size_t openConnectionLimit();

struct upstream_connection_limits {
    /** Connections that were idle for longer are not reused, as a firewall or NAT on the way may have dropped their
     * state. */
    duration idleReuse = std::chrono::seconds(4);
    /** The maximum number of idle connections to all upstreams together; further ones are closed. */
    std::size_t maximumIdle = 4096;
    /** While so many connections are open, a new one replaces an idle one. */
    std::size_t maximumOpen = openConnectionLimit();
    byte_count maximumAnswerHeaders = maximumAnswerHead;
    byte_count maximumAnswerBody = plantainlatch::maximumAnswerBody;
    /** The limit on the bytes of all incomplete answers together, which are held in memory. */
    byte_count maximumReceived { 64 * 1024 * 1024 };
};

struct upstream_connection_events {
    /** Called when the first byte of the request enters the output buffer, before any byte is passed to the operating
     * system. */
    std::function<void(upstream_connection&)> onDispatch;
    /** Called at least once when what has arrived can't become an answer: it is not valid HTTP, more bytes have arrived
     * than an answer may have and the library has not consumed them, the incomplete answers exceed their limit
     * together and this one is the largest, or its memory is needed for others. */
    std::function<void(upstream_connection&)> onUnusableInput;
};

/** Opens, reuses and closes connections. The memory of an answer is counted from its first byte, with its whole length
 * if that is stated. While there is none, the answer is not read, so that its upstream stops sending; it is given up if
 * others need the memory that it has. */
class upstream_connections {
public:
    /** The budget must outlive the connections. */
    upstream_connections(event_base* base, const kernel_hooks& hooks, buffer_budget& budget,
        upstream_connection_limits limits, upstream_connection_events events);
    ~upstream_connections();
    upstream_connections(const upstream_connections&) = delete;
    upstream_connections& operator=(const upstream_connections&) = delete;

    /** Returns a connection for one request: an idle one that can be reused, or a new one, which connects when the
     * request is made. `fresh` requires a new one. Null if `limit` connections to the address are in use. The caller
     * sets the exchange with beginExchange(). */
    upstream_connection* acquire(const network_address& address, std::uint32_t limit, bool fresh);

    /** Begins an exchange on an acquired connection. `head` is set for a HEAD request. */
    void beginExchange(upstream_connection& connection, std::uint64_t exchange, bool head) const;

    /** Returns a connection to its pool after the complete answer was read. It is closed instead if the upstream closes
     * it or has sent further bytes, or if there are too many idle connections. */
    void release(upstream_connection& connection);

    /** Closes a connection. It is freed in the next iteration of the event loop. If a request was dispatched on it and
     * not answered, the connection is reset, so that the request can't arrive after its call has ended. */
    void discard(upstream_connection& connection);

    /** Shuts down the socket of a connection whose request is in the output buffer, so that no byte of it is sent; the
     * request counts as not dispatched. To be called within onDispatch. */
    void abortDispatch(upstream_connection& connection);

    void closeIdleConnections(const network_address& address);

    /** Closes the idle connections to all addresses. */
    void closeIdle();

    /** User data for the request callbacks, to which libevent passes only the connection. */
    void* user() const { return m_user; }
    void setUser(void* user) { m_user = user; }

    std::size_t openCount() const { return m_open; }
    std::size_t idleCount() const { return m_idle; }
    /** The bytes of all incomplete answers together. */
    std::size_t receivedBytes() const { return m_received; }

private:
    struct pool {
        std::vector<std::unique_ptr<upstream_connection>> all;
    };

    static void outputChanged(evbuffer* buffer, const evbuffer_cb_info* info, void* argument);
    static void inputChanged(evbuffer* buffer, const evbuffer_cb_info* info, void* argument);
    /** Lets the validator read the bytes that were added to the buffer, and logs the first that are not valid. Returns
     * whether all of the exchange's bytes are valid so far. */
    bool validate(upstream_connection& connection, evbuffer* buffer, std::size_t addedBytes) const;
    void countReceived(upstream_connection& connection, std::size_t bytes);
    void forgetReceived(upstream_connection& connection);
    /** Fails the exchange that has received the most bytes. */
    void endLargest();
    /** Fails an exchange, and releases the memory of its answer at once. */
    void giveUp(upstream_connection& connection);
    /** Reads nothing more for now. */
    void pause(upstream_connection& connection);
    void resume(upstream_connection& connection);
    /** Reads on where there is memory now. */
    void resumePaused();

    /** The limit on received bytes that the library has not consumed, in bytes: a complete answer waits for its last
     * byte. */
    std::size_t maximumInput() const;
    upstream_connection* takeIdle(pool& from);
    upstream_connection* open(pool& into, const network_address& address);
    bool isReusable(const upstream_connection& connection) const;
    void closeOneIdle(pool& from);
    /** Closes an idle connection to any address, if there is one. */
    void closeAnyIdle();
    void freeLater(std::unique_ptr<upstream_connection> connection);
    void freeClosed();
    void closeExpired();
    void scheduleExpiry();

    event_base* m_base;
    const kernel_hooks& m_hooks;
    buffer_budget& m_budget;
    upstream_connection_limits m_limits;
    upstream_connection_events m_events;
    std::map<network_address, pool> m_pools;
    std::vector<std::unique_ptr<upstream_connection>> m_closed;
    timer_id m_freeTimer;
    timer_id m_expiryTimer;
    std::vector<upstream_connection*> m_paused;
    timer_id m_resumeTimer;
    void* m_user = nullptr;
    /** The sum of received_answer::received(). */
    std::size_t m_received = 0;
    std::size_t m_open = 0;
    std::size_t m_idle = 0;
};

} // namespace plantainlatch
