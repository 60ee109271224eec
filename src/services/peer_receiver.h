#pragma once

/** \file
 * The accepting side of a connection between VMs, which carries messages from another VM to this one.
 */

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "kernel/hooks.h"
#include "runtime/event_loop.h"
#include "runtime/frame_stream.h"
#include "runtime/peer_handshake.h"
#include "services/peer_transport.h"

namespace plantainlatch {

/** Callbacks to the owner. onClosed is called at most once and is the last one; the receiver must not be destroyed
 * within it. */
struct peer_receiver_events {
    /** The peer is authenticated. */
    std::function<void(const vm_id& from)> onConnected;
    std::function<void(const vm_id& from, const std::string& encoded)> onMessage;
    std::function<void(const absl::Status& why)> onClosed;
};

/** Authenticates the peer, checks its frames and answers its pings. A ping waits behind the messages that were sent
 * before it, so bytes are answered too if there was no answer for a ping's interval: messages that take long on a slow
 * link don't look like a VM that stopped. Until the peer is authenticated, only onClosed can be called. */
class peer_receiver {
public:
    static std::unique_ptr<peer_receiver> create(event_loop& loop, const kernel_hooks& hooks, int socket,
        const vm_id& self, const std::function<bool(const vm_id&)>& isAllowedPeer, const shared_key& key,
        const peer_transport_options& options, buffer_budget& budget, peer_receiver_events events);
    ~peer_receiver();

private:
    peer_receiver(const kernel_hooks& hooks, vm_id self, const std::function<bool(const vm_id&)>& isAllowedPeer,
        const shared_key& key, const peer_transport_options& options, buffer_budget& budget,
        peer_receiver_events events);

    void receive(const std::string& payload);
    void handleHello(const std::string& payload);
    void handleProof(const std::string& payload);
    void handleFrame(const std::string& payload);
    void receivedBytes();
    /** Counts a message that has begun to arrive; false if there is no memory for it. */
    bool holdFrame(std::size_t bytes);
    void answer();
    void restartSilenceTimer(duration timeout);
    void fail(const absl::Status& why);

    const kernel_hooks& m_hooks;
    vm_id m_self;
    const std::function<bool(const vm_id&)>& m_isAllowedPeer;
    const shared_key& m_key;
    const peer_transport_options& m_options;
    peer_receiver_events m_events;
    buffer_lease m_lease;
    std::unique_ptr<frame_stream> m_stream;
    std::optional<peer_hello> m_hello;
    std::string m_nonce;
    std::optional<frame_authenticator> m_incoming;
    std::optional<frame_authenticator> m_outgoing;
    timer_id m_timer;
    time_point m_lastAnswer;
    bool m_failed = false;
};

} // namespace plantainlatch
