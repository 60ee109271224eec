#include "services/peer_sender.h"

#include <algorithm>

#include "codec/msgpack_codec.h"

namespace plantainlatch {

std::unique_ptr<peer_sender> peer_sender::create(event_loop& loop, const kernel_hooks& hooks, const vm_id& self,
    const vm_record& peer, const shared_key& key, const peer_transport_options& options)
{
    std::unique_ptr<peer_sender> sender(new peer_sender(loop, hooks, self, peer, key, options));
    sender->connect();
    return sender;
}

peer_sender::peer_sender(event_loop& loop, const kernel_hooks& hooks, vm_id self, vm_record peer, const shared_key& key,
    const peer_transport_options& options)
    : m_loop(loop)
    , m_hooks(hooks)
    , m_self(std::move(self))
    , m_peer(std::move(peer))
    , m_key(key)
    , m_options(options)
    , m_reconnect(options.shortestReconnect)
{
}

peer_sender::~peer_sender() { m_hooks.cancel(m_timer); }

void peer_sender::send(const std::string& encoded)
{
    if (!m_seal || m_stream->backlog() > m_options.largestBacklog) {
        ++m_dropped;
        return;
    }
    std::string payload(1, static_cast<char>(peer_frame_kind::Message));
    payload += encoded;
    m_stream->send(m_seal->seal(payload));
}

void peer_sender::setTimer(duration delay, void (peer_sender::*fire)())
{
    m_hooks.cancel(m_timer);
    m_timer = m_hooks.schedule(delay, [this, fire] { (this->*fire)(); });
}

void peer_sender::connect()
{
    frame_stream_events events;
    events.onConnected = [this] { greet(); };
    events.onFrame = [this](const std::string& payload) { receive(payload); };
    events.onClosed = [this](const absl::Status& why) { disconnected(why); };
    absl::StatusOr<std::unique_ptr<frame_stream>> stream
        = frame_stream::connect(m_loop, m_peer.peerAddress, largestHandshakeBytes, std::move(events));
    if (!stream.ok()) {
        disconnected(stream.status());
        return;
    }
    m_stream = std::move(*stream);
    setTimer(m_options.handshakeTimeout, &peer_sender::checkHandshake);
}

void peer_sender::checkHandshake() { disconnected(absl::DeadlineExceededError("no answer to the handshake")); }

void peer_sender::disconnected(const absl::Status& why)
{
    m_stream.reset();
    m_seal.reset();
    m_answers.reset();
    if (!m_reported)
        m_hooks.log({ log_level::Warning, "peers", "no connection to a VM",
            { { "to", m_peer.id.value() }, { "why", std::string(why.message()) } } });
    m_reported = true;
    setTimer(m_reconnect, &peer_sender::connect);
    m_reconnect = std::min(m_reconnect * 2, m_options.longestReconnect);
}

void peer_sender::greet()
{
    m_hello = peer_hello { peerProtocolVersion, m_self, m_peer.id, randomNonce() };
    m_stream->send(msgpack_codec::encode(m_hello));
}

void peer_sender::receive(const std::string& payload)
{
    if (!m_seal) {
        challenged(payload);
        return;
    }
    const absl::StatusOr<std::string> answer = m_answers->open(payload);
    if (!answer.ok()) {
        disconnected(answer.status());
        return;
    }
    m_lastAnswer = m_hooks.now();
}

void peer_sender::challenged(const std::string& payload)
{
    const absl::StatusOr<peer_challenge> challenge = msgpack_codec::decode<peer_challenge>(payload);
    if (!challenge.ok()
        || !equalInConstantTime(
            challenge->proof, handshakeProof(m_key, handshake_role::Accepting, m_hello, challenge->nonce))) {
        disconnected(absl::UnauthenticatedError("the other side does not prove that it has the shared key"));
        return;
    }
    m_stream->send(msgpack_codec::encode(
        peer_proof { handshakeProof(m_key, handshake_role::Connecting, m_hello, challenge->nonce) }));
    m_seal.emplace(m_key, handshake_role::Connecting, m_hello, challenge->nonce);
    m_answers.emplace(m_key, handshake_role::Accepting, m_hello, challenge->nonce);
    m_lastAnswer = m_hooks.now();
    m_reconnect = m_options.shortestReconnect;
    m_reported = false;
    m_hooks.log({ log_level::Info, "peers", "connected to a VM", { { "to", m_peer.id.value() } } });
    setTimer(m_options.pingInterval, &peer_sender::ping);
}

void peer_sender::ping()
{
    if (m_hooks.now() - m_lastAnswer > m_options.silenceTimeout) {
        disconnected(absl::DeadlineExceededError("the connection went silent"));
        return;
    }
    m_stream->send(m_seal->seal(std::string(1, static_cast<char>(peer_frame_kind::Ping))));
    setTimer(m_options.pingInterval, &peer_sender::ping);
}

} // namespace plantainlatch
