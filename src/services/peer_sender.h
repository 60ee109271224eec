#pragma once

/** \file
 * The connecting side of a connection between VMs, which carries messages from this VM to one other VM. It
 * authenticates, reconnects with exponential backoff, and detects a dead connection by pings.
 */

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kernel/hooks.h"
#include "model/vm_settings.h"
#include "runtime/event_loop.h"
#include "runtime/frame_stream.h"
#include "runtime/peer_handshake.h"
#include "services/peer_transport.h"

namespace plantainlatch {

/** The first byte of each authenticated payload between VMs. */
enum class peer_frame_kind : char {
    Ping = 'p',
    Message = 'm',
};

inline constexpr std::uint32_t peerProtocolVersion = 7;
/** The maximum payload of a frame in bytes before the peer is authenticated. */
inline constexpr std::size_t maximumHandshakeBytes = 1024;

class peer_sender {
public:
    static std::unique_ptr<peer_sender> create(event_loop& loop, const kernel_hooks& hooks, const vm_id& self,
        const vm_record& peer, const shared_key& key, const peer_transport_options& options, buffer_budget& budget);
    ~peer_sender();

    /** Sends an encoded message. While a connection attempt is in progress, a limited number of messages waits for it;
     * others, and those of a failed attempt, are dropped, as are those beyond the backlog and those for which there is
     * no memory. */
    void send(const std::string& encoded);

    bool connected() const { return m_outgoing.has_value(); }

    /** The peer has connected to this VM, so it is running: an attempt that got no answer yet, or a wait for the next
     * attempt, is replaced by a new attempt. */
    void onPeerConnected();
    std::uint64_t dropped() const { return m_dropped; }

private:
    peer_sender(event_loop& loop, const kernel_hooks& hooks, vm_id self, vm_record peer, const shared_key& key,
        const peer_transport_options& options, buffer_budget& budget);

    void connect();
    /** Counts what waits on the connection with so many bytes more; false if there is no memory for them. */
    bool holdOutput(std::size_t bytes);
    void disconnected(const absl::Status& why);
    void sendHello();
    void receive(const std::string& payload);
    void handleChallenge(const std::string& payload);
    void ping();
    void setTimer(duration delay, void (peer_sender::*fire)());
    void checkConnection();
    void checkHandshake();

    event_loop& m_loop;
    const kernel_hooks& m_hooks;
    vm_id m_self;
    vm_record m_peer;
    const shared_key& m_key;
    const peer_transport_options& m_options;

    std::unique_ptr<frame_stream> m_stream;
    peer_hello m_hello;
    std::optional<frame_authenticator> m_outgoing;
    std::optional<frame_authenticator> m_incoming;
    timer_id m_timer;
    time_point m_lastAnswer;
    duration m_reconnectDelay;
    duration m_connectTimeout;
    /** The connection is established; the handshake may not have finished. */
    bool m_established = false;
    bool m_disconnectLogged = false;
    /** Messages that wait for the handshake, and their size. */
    std::vector<std::string> m_waiting;
    std::size_t m_waitingBytes = 0;
    buffer_lease m_lease;
    std::uint64_t m_dropped = 0;
};

} // namespace plantainlatch
