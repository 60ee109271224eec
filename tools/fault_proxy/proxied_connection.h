#pragma once

/** \file
 * One connection through the proxy, to which the faults of its route are applied.
 */

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "fault_proxy/fault_set.h"
#include "kernel/hooks.h"
#include "model/address.h"

struct bufferevent;
struct event_base;
struct ev_token_bucket_cfg;

namespace plantainlatch {

/** Forwards bytes in both directions between an accepted socket and a connection to the target. */
class proxied_connection {
public:
    /** Takes ownership of the accepted socket. `onEnd` is called once after the connection has ended, in a later
     * iteration of the event loop, so it may destroy this object. */
    static std::unique_ptr<proxied_connection> create(event_base* base, const kernel_hooks& hooks, int accepted,
        const network_address& target, const fault_set& faults, std::function<void()> onEnd);
    ~proxied_connection();
    proxied_connection(const proxied_connection&) = delete;
    proxied_connection& operator=(const proxied_connection&) = delete;

    /** Must be called after each change of the route's faults. */
    void onFaultsChanged();

    /** Permanently stops forwarding in both directions; both connections stay open. */
    void silence();

    /** Resets the connections to both sides. */
    void cut();

private:
    /** One direction: bytes read from `from` and written to `to`. */
    struct byte_stream {
        proxied_connection* owner = nullptr;
        stream_direction direction = stream_direction::Up;
        bufferevent* from = nullptr;
        bufferevent* to = nullptr;
        /** Bytes whose delivery is delayed by a fault, and when the last of them are due. */
        std::size_t delayedBytes = 0;
        time_point lastDue {};
        std::uint64_t forwardedBytes = 0;
        /** The sender has closed; the connection ends when everything has been delivered. */
        bool closing = false;
    };

    proxied_connection(const kernel_hooks& hooks, const fault_set& faults, std::function<void()> onEnd);

    void connect(event_base* base, int accepted, const network_address& target);
    void onReadable(byte_stream& stream);
    void forward(byte_stream& stream, std::string bytes);
    void deliver(byte_stream& stream, const std::string& bytes);
    void onSenderClosed(byte_stream& stream);
    void closeWhenDelivered(byte_stream& stream);
    void applyFaults(byte_stream& stream);
    bool isBlocked(const byte_stream& stream) const;
    void resetOnClose(bufferevent* side);
    void end();

    const kernel_hooks& m_hooks;
    const fault_set& m_faults;
    std::function<void()> m_onEnd;
    bool m_silent = false;
    bool m_closed = false;
    std::array<byte_stream, 2> m_streams;
    ev_token_bucket_cfg* m_rate = nullptr;
    /** Set to false by the destructor; timers that fire later check it. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace plantainlatch
