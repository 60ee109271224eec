#pragma once

/** \file
 * One connection through the proxy, with its faults.
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

/** Passes bytes both ways between an accepted socket and a connection to the target. */
class proxied_connection {
public:
    /** Takes over the accepted socket. `ended` is called once, on a later round of the loop than what caused it. */
    static std::unique_ptr<proxied_connection> create(event_base* base, const kernel_hooks& hooks, int accepted,
        const network_address& target, const fault_set& faults, std::function<void()> ended);
    ~proxied_connection();
    proxied_connection(const proxied_connection&) = delete;
    proxied_connection& operator=(const proxied_connection&) = delete;

    /** The route's faults have changed. */
    void faultsChanged();

    /** Stops both directions for good. */
    void silence();

    /** Resets both sides. */
    void cut();

private:
    /** One direction: bytes read from `from` and written to `to`. */
    struct direction {
        proxied_connection* owner = nullptr;
        flow way = flow::Up;
        bufferevent* from = nullptr;
        bufferevent* to = nullptr;
        /** Bytes on their delayed way, and when the last of them arrive. */
        std::size_t delayed = 0;
        time_point lastDue {};
        std::uint64_t passed = 0;
        /** The sender has closed; the receiver is told when everything has arrived. */
        bool closing = false;
    };

    proxied_connection(const kernel_hooks& hooks, const fault_set& faults, std::function<void()> ended);

    void connect(event_base* base, int accepted, const network_address& target);
    void readable(direction& item);
    void pass(direction& item, std::string bytes);
    void arrive(direction& item, const std::string& bytes);
    void senderClosed(direction& item);
    void closeIfPassed(direction& item);
    void applyFaults(direction& item);
    bool isBlocked(const direction& item) const;
    void reset(bufferevent* side);
    void end();

    const kernel_hooks& m_hooks;
    const fault_set& m_faults;
    std::function<void()> m_ended;
    bool m_silent = false;
    bool m_over = false;
    std::array<direction, 2> m_directions;
    ev_token_bucket_cfg* m_rate = nullptr;
    /** Lets late timers see that the connection has gone. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace plantainlatch
