#pragma once

/** \file
 * Accepts TCP connections.
 */

#include <functional>
#include <memory>

#include "absl/status/statusor.h"
#include "kernel/hooks.h"
#include "model/address.h"

struct event_base;

namespace plantainlatch {

struct tcp_listener_events {
    /** Takes ownership of an accepted socket. */
    std::function<void(int socket)> onAccept;
    /** accept() has failed with this error number, usually because there are no file descriptors left. Accepting pauses
     * for a short time; new connections wait in the queue of the operating system. May be empty. */
    std::function<void(int error)> onPause;
};

/** A listening TCP socket. Destroying it closes the socket and resets the connections that wait to be accepted. */
class tcp_listener {
public:
    /** AlreadyExists when the address is in use, Unavailable when it can't be bound for another reason. */
    static absl::StatusOr<std::unique_ptr<tcp_listener>> create(
        event_base* base, const kernel_hooks& hooks, const network_address& address, tcp_listener_events events);
    ~tcp_listener();

    /** Accepts all connections that wait in the queue of the operating system. */
    void acceptPending();

    /** The address it listens on, with the port that the operating system chose if 0 was given. */
    network_address address() const;

private:
    struct implementation;
    explicit tcp_listener(std::unique_ptr<implementation> parts);
    std::unique_ptr<implementation> m_parts;
};

} // namespace plantainlatch
