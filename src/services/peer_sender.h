#pragma once

/** \file
 * The connection on which this VM sends to one other VM; it authenticates, reconnects and notices silence by itself.
 */

#include <memory>
#include <optional>
#include <string>

#include "kernel/hooks.h"
#include "model/vm_settings.h"
#include "runtime/event_loop.h"
#include "runtime/frame_stream.h"
#include "runtime/peer_handshake.h"
#include "services/peer_transport.h"

namespace plantainlatch {

/** The first byte of each sealed payload between VMs. */
enum class peer_frame_kind : char {
    Ping = 'p',
    Message = 'm',
};

/** The version of the protocol between VMs. */
inline constexpr std::uint32_t peerProtocolVersion = 1;
/** The largest frame before a peer is authenticated. */
inline constexpr std::size_t largestHandshakeBytes = 1024;

/** Sends to one VM. */
class peer_sender {
public:
    static std::unique_ptr<peer_sender> create(event_loop& loop, const kernel_hooks& hooks, const vm_id& self,
        const vm_record& peer, const shared_key& key, const peer_transport_options& options);
    ~peer_sender();

    /** Sends an encoded message, or drops it while there is no authenticated connection and the backlog is full. */
    void send(const std::string& encoded);

    bool connected() const { return m_seal.has_value(); }
    std::uint64_t dropped() const { return m_dropped; }

private:
    peer_sender(event_loop& loop, const kernel_hooks& hooks, vm_id self, vm_record peer, const shared_key& key,
        const peer_transport_options& options);

    void connect();
    void disconnected(const absl::Status& why);
    void greet();
    void receive(const std::string& payload);
    void challenged(const std::string& payload);
    void ping();
    void setTimer(duration delay, void (peer_sender::*fire)());
    void checkHandshake();

    event_loop& m_loop;
    const kernel_hooks& m_hooks;
    vm_id m_self;
    vm_record m_peer;
    const shared_key& m_key;
    const peer_transport_options& m_options;

    std::unique_ptr<frame_stream> m_stream;
    peer_hello m_hello;
    std::optional<frame_seal> m_seal;
    std::optional<frame_seal> m_answers;
    timer_id m_timer;
    time_point m_lastAnswer;
    duration m_reconnect;
    bool m_reported = false;
    std::uint64_t m_dropped = 0;
};

} // namespace plantainlatch
