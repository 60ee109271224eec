#pragma once

/** \file
 * Transports messages between VMs over TCP; implements the service "peers".
 */

#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "codec/peer_message_codec.h"
#include "kernel/hooks.h"
#include "kernel/service.h"
#include "model/vm_settings.h"
#include "ports/peer_port.h"
#include "runtime/event_loop.h"
#include "runtime/peer_handshake.h"
#include "services/buffer_budget.h"

namespace plantainlatch {

struct peer_transport_options {
    duration pingInterval = std::chrono::milliseconds(500);
    /** A connection on which the peer sends nothing for this time is closed; the connecting side reconnects. */
    duration silenceTimeout = std::chrono::seconds(2);
    duration handshakeTimeout = std::chrono::seconds(3);
    /** The first limit on establishing a connection; it doubles with each failure, up to the handshake's. The first
     * packet to a VM that is starting gets lost, and the operating system repeats it only after a second. */
    duration minimumConnectTimeout = std::chrono::milliseconds(300);
    duration minimumReconnectDelay = std::chrono::milliseconds(50);
    duration maximumReconnectDelay = std::chrono::seconds(1);
    /** The maximum payload of a frame, in bytes. */
    std::size_t maximumFrame = maximumCompressedContent;
    /** Messages to a VM are dropped while more bytes than this are waiting to be sent to it. */
    std::size_t maximumBacklog = 80 * 1024 * 1024;
    /** Messages above this size are counted by the budget, as are the messages that wait on a connection above it. */
    std::size_t uncountedBytes = 64 * 1024;
    /** The maximum number of accepted connections whose peers are not authenticated. At the limit, the earliest one is
     * closed. */
    std::size_t maximumUnauthenticated = 1024;
    /** Counts the messages, and must outlive the transport; if it is null, the transport has one of its own. */
    buffer_budget* budget = nullptr;
};

/** The number of connections of unauthenticated peers that leaves the other descriptors to those that are known. */
std::size_t unauthenticatedLimit(std::size_t maximumDescriptors);

/**
 * Each VM opens one connection to each VM that it sends to. Delivery is not guaranteed: messages in transit are lost
 * with their connection, and the senders have to repeat them. Messages to the VM itself are delivered through the event
 * loop.
 */
class peer_transport {
public:
    static absl::StatusOr<std::unique_ptr<peer_transport>> create(
        event_loop& loop, const kernel_hooks& hooks, const vm_settings& settings, peer_transport_options options = {});
    ~peer_transport();

    /** The service "peers"; its start fails if the peer address is in use. */
    service asService();

private:
    struct implementation;
    explicit peer_transport(std::unique_ptr<implementation> parts);
    std::unique_ptr<implementation> m_parts;
};

} // namespace plantainlatch
