#include "services/peer_receiver.h"

#include "codec/msgpack_codec.h"
#include "services/peer_sender.h"

namespace plantainlatch {

std::unique_ptr<peer_receiver> peer_receiver::create(event_loop& loop, const kernel_hooks& hooks, int socket,
    const vm_id& self, const std::function<bool(const vm_id&)>& isAllowedPeer, const shared_key& key,
    const peer_transport_options& options, buffer_budget& budget, peer_receiver_events events)
{
    std::unique_ptr<peer_receiver> receiver(
        new peer_receiver(hooks, self, isAllowedPeer, key, options, budget, std::move(events)));
    peer_receiver* raw = receiver.get();
    frame_stream_events streamEvents;
    streamEvents.onFrame = [raw](const std::string& payload) { raw->receive(payload); };
    streamEvents.onIncompleteFrame = [raw](std::size_t bytes) { return raw->holdFrame(bytes); };
    streamEvents.onBytes = [raw] { raw->receivedBytes(); };
    streamEvents.onClosed = [raw](const absl::Status& why) { raw->fail(why); };
    receiver->m_stream = frame_stream::accept(loop, socket, maximumHandshakeBytes, std::move(streamEvents));
    receiver->restartSilenceTimer(options.handshakeTimeout);
    return receiver;
}

peer_receiver::peer_receiver(const kernel_hooks& hooks, vm_id self,
    const std::function<bool(const vm_id&)>& isAllowedPeer, const shared_key& key,
    const peer_transport_options& options, buffer_budget& budget, peer_receiver_events events)
    : m_hooks(hooks)
    , m_self(std::move(self))
    , m_isAllowedPeer(isAllowedPeer)
    , m_key(key)
    , m_options(options)
    , m_events(std::move(events))
    , m_lease(budget, buffer_use::PeerInput, {})
{
}

peer_receiver::~peer_receiver() { m_hooks.cancel(m_timer); }

void peer_receiver::restartSilenceTimer(duration timeout)
{
    m_hooks.cancel(m_timer);
    m_timer = m_hooks.schedule(timeout,
        [this] { fail(absl::DeadlineExceededError("nothing was received on the connection within the time-out")); });
}

void peer_receiver::fail(const absl::Status& why)
{
    if (m_failed)
        return;
    m_failed = true;
    m_hooks.cancel(m_timer);
    m_events.onClosed(why);
}

void peer_receiver::receive(const std::string& payload)
{
    if (m_failed)
        return;
    if (!m_hello)
        handleHello(payload);
    else if (!m_incoming)
        handleProof(payload);
    else
        handleFrame(payload);
}

void peer_receiver::handleHello(const std::string& payload)
{
    absl::StatusOr<peer_hello> hello = msgpack_codec::decode<peer_hello>(payload);
    const bool acceptable
        = hello.ok() && hello->version == peerProtocolVersion && hello->to == m_self && m_isAllowedPeer(hello->from);
    if (!acceptable) {
        fail(absl::UnauthenticatedError("the hello is not from a known VM to this VM in this protocol version"));
        return;
    }
    m_hello = std::move(*hello);
    m_nonce = randomNonce();
    m_stream->send(msgpack_codec::encode(
        peer_challenge { m_nonce, handshakeProof(m_key, handshake_role::Accepting, *m_hello, m_nonce) }));
}

void peer_receiver::handleProof(const std::string& payload)
{
    const absl::StatusOr<peer_proof> proof = msgpack_codec::decode<peer_proof>(payload);
    if (!proof.ok()
        || !equalInConstantTime(proof->proof, handshakeProof(m_key, handshake_role::Connecting, *m_hello, m_nonce))) {
        fail(absl::UnauthenticatedError("the peer did not prove that it has the shared key"));
        return;
    }
    m_incoming.emplace(m_key, handshake_role::Connecting, *m_hello, m_nonce);
    m_outgoing.emplace(m_key, handshake_role::Accepting, *m_hello, m_nonce);
    m_stream->setMaximumPayload(m_options.maximumFrame);
    restartSilenceTimer(m_options.silenceTimeout);
    m_lastAnswer = m_hooks.now();
    m_events.onConnected(m_hello->from);
}

void peer_receiver::handleFrame(const std::string& payload)
{
    const absl::StatusOr<std::string> frame = m_incoming->open(payload);
    if (!frame.ok() || frame->empty()) {
        fail(frame.ok() ? absl::InvalidArgumentError("the frame is empty") : frame.status());
        return;
    }
    if (frame->front() == static_cast<char>(peer_frame_kind::Ping)) {
        answer();
        return;
    }
    m_events.onMessage(m_hello->from, frame->substr(1));
}

bool peer_receiver::holdFrame(std::size_t bytes)
{
    return m_lease.resize(bytes > m_options.uncountedBytes ? bytes : 0, false);
}

void peer_receiver::receivedBytes()
{
    // The time-out of the handshake holds for a peer that sends slowly, too.
    if (m_failed || !m_incoming)
        return;
    restartSilenceTimer(m_options.silenceTimeout);
    if (m_hooks.now() - m_lastAnswer >= m_options.pingInterval)
        answer();
}

void peer_receiver::answer()
{
    m_lastAnswer = m_hooks.now();
    m_stream->send(m_outgoing->seal(std::string(1, static_cast<char>(peer_frame_kind::Ping))));
}

} // namespace plantainlatch
