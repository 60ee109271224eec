#pragma once

/** \file
 * Messages between VMs over TCP: the service behind "peers".
 */

#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "kernel/hooks.h"
#include "kernel/service.h"
#include "model/vm_settings.h"
#include "ports/peer_port.h"
#include "runtime/event_loop.h"
#include "runtime/peer_handshake.h"

namespace plantainlatch {

/** How connections between VMs behave. */
struct peer_transport_options {
    duration pingInterval = std::chrono::milliseconds(500);
    /** A connection without an answer for so long is closed and opened anew. */
    duration silenceTimeout = std::chrono::seconds(2);
    duration handshakeTimeout = std::chrono::seconds(3);
    duration shortestReconnect = std::chrono::milliseconds(50);
    duration longestReconnect = std::chrono::seconds(1);
    std::size_t largestFrame = 64 * 1024 * 1024;
    /** Messages to a VM are dropped while so many bytes wait for it. */
    std::size_t largestBacklog = 80 * 1024 * 1024;
};

/**
 * One connection from each VM to each VM that it sends to. A lost connection loses what was under way; senders send
 * again. Messages to the VM itself come back through the loop.
 */
class peer_transport {
public:
    static absl::StatusOr<std::unique_ptr<peer_transport>> create(
        event_loop& loop, const kernel_hooks& hooks, const vm_settings& settings, peer_transport_options options = {});
    ~peer_transport();

    /** The service "peers"; its start fails when the peer address is in use. */
    service asService();

private:
    struct implementation;
    explicit peer_transport(std::unique_ptr<implementation> parts);
    std::unique_ptr<implementation> m_parts;
};

} // namespace plantainlatch
