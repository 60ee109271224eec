#include "services/peer_sender.h"

#include <algorithm>
#include <utility>

#include "codec/msgpack_codec.h"

namespace plantainlatch {

namespace {

    /** The limit on messages that wait for one handshake. Senders repeat their messages, so few are enough. */
    constexpr std::size_t maximumWaiting = 16;

} // namespace

std::unique_ptr<peer_sender> peer_sender::create(event_loop& loop, const kernel_hooks& hooks, const vm_id& self,
    const vm_record& peer, const shared_key& key, const peer_transport_options& options, buffer_budget& budget)
{
    std::unique_ptr<peer_sender> sender(new peer_sender(loop, hooks, self, peer, key, options, budget));
    sender->connect();
    return sender;
}

peer_sender::peer_sender(event_loop& loop, const kernel_hooks& hooks, vm_id self, vm_record peer, const shared_key& key,
    const peer_transport_options& options, buffer_budget& budget)
    : m_loop(loop)
    , m_hooks(hooks)
    , m_self(std::move(self))
    , m_peer(std::move(peer))
    , m_key(key)
    , m_options(options)
    , m_reconnectDelay(options.minimumReconnectDelay)
    , m_connectTimeout(std::min(options.minimumConnectTimeout, options.handshakeTimeout))
    , m_lease(budget, buffer_use::PeerOutput, {})
{
}

peer_sender::~peer_sender() { m_hooks.cancel(m_timer); }

void peer_sender::send(const std::string& encoded)
{
    const bool mayWait = !m_outgoing && m_stream != nullptr && m_waiting.size() < maximumWaiting;
    const bool maySend = m_outgoing && m_stream->backlog() <= m_options.maximumBacklog;
    if ((!mayWait && !maySend) || !holdOutput(encoded.size())) {
        ++m_dropped;
        return;
    }
    if (mayWait) {
        m_waiting.push_back(encoded);
        m_waitingBytes += encoded.size();
        return;
    }
    std::string payload(1, static_cast<char>(peer_frame_kind::Message));
    payload += encoded;
    m_stream->send(m_outgoing->seal(payload));
}

bool peer_sender::holdOutput(std::size_t bytes)
{
    const std::size_t needed = m_waitingBytes + m_stream->backlog() + bytes;
    return needed <= m_options.uncountedBytes || m_lease.resize(needed, false);
}

void peer_sender::setTimer(duration delay, void (peer_sender::*fire)())
{
    m_hooks.cancel(m_timer);
    m_timer = m_hooks.schedule(delay, [this, fire] { (this->*fire)(); });
}

void peer_sender::connect()
{
    frame_stream_events events;
    events.onConnected = [this] { sendHello(); };
    events.onFrame = [this](const std::string& payload) { receive(payload); };
    events.onDrained = [this] {
        if (m_waitingBytes == 0)
            m_lease.release();
    };
    events.onClosed = [this](const absl::Status& why) { disconnected(why); };
    absl::StatusOr<std::unique_ptr<frame_stream>> stream
        = frame_stream::connect(m_loop, m_peer.peerAddress, maximumHandshakeBytes, std::move(events));
    if (!stream.ok()) {
        disconnected(stream.status());
        return;
    }
    m_stream = std::move(*stream);
    setTimer(m_connectTimeout, &peer_sender::checkConnection);
}

void peer_sender::onPeerConnected()
{
    if (m_established)
        return;
    m_reconnectDelay = m_options.minimumReconnectDelay;
    m_stream.reset();
    connect();
}

void peer_sender::checkConnection()
{
    m_connectTimeout = std::min(m_connectTimeout * 2, m_options.handshakeTimeout);
    disconnected(absl::DeadlineExceededError("the connection was not established within the time-out"));
}

void peer_sender::checkHandshake()
{
    disconnected(absl::DeadlineExceededError("the handshake did not finish within its time-out"));
}

void peer_sender::disconnected(const absl::Status& why)
{
    m_stream.reset();
    m_outgoing.reset();
    m_incoming.reset();
    m_established = false;
    m_dropped += std::exchange(m_waiting, {}).size();
    m_waitingBytes = 0;
    m_lease.release();
    if (!m_disconnectLogged)
        m_hooks.log({ log_level::Warning, "peers", "no connection to a VM",
            { { "to", m_peer.id.value() }, { "why", std::string(why.message()) } } });
    m_disconnectLogged = true;
    setTimer(m_reconnectDelay, &peer_sender::connect);
    m_reconnectDelay = std::min(m_reconnectDelay * 2, m_options.maximumReconnectDelay);
}

void peer_sender::sendHello()
{
    m_established = true;
    setTimer(m_options.handshakeTimeout, &peer_sender::checkHandshake);
    m_hello = peer_hello { peerProtocolVersion, m_self, m_peer.id, randomNonce() };
    m_stream->send(msgpack_codec::encode(m_hello));
}

void peer_sender::receive(const std::string& payload)
{
    if (!m_outgoing) {
        handleChallenge(payload);
        return;
    }
    const absl::StatusOr<std::string> answer = m_incoming->open(payload);
    if (!answer.ok()) {
        disconnected(answer.status());
        return;
    }
    m_lastAnswer = m_hooks.now();
}

void peer_sender::handleChallenge(const std::string& payload)
{
    const absl::StatusOr<peer_challenge> challenge = msgpack_codec::decode<peer_challenge>(payload);
    if (!challenge.ok()
        || !equalInConstantTime(
            challenge->proof, handshakeProof(m_key, handshake_role::Accepting, m_hello, challenge->nonce))) {
        disconnected(absl::UnauthenticatedError("the peer did not prove that it has the shared key"));
        return;
    }
    m_stream->send(msgpack_codec::encode(
        peer_proof { handshakeProof(m_key, handshake_role::Connecting, m_hello, challenge->nonce) }));
    m_outgoing.emplace(m_key, handshake_role::Connecting, m_hello, challenge->nonce);
    m_incoming.emplace(m_key, handshake_role::Accepting, m_hello, challenge->nonce);
    m_lastAnswer = m_hooks.now();
    m_reconnectDelay = m_options.minimumReconnectDelay;
    m_connectTimeout = std::min(m_options.minimumConnectTimeout, m_options.handshakeTimeout);
    m_disconnectLogged = false;
    m_hooks.log({ log_level::Info, "peers", "connected to a VM", { { "to", m_peer.id.value() } } });
    setTimer(m_options.pingInterval, &peer_sender::ping);
    m_waitingBytes = 0;
    for (const std::string& encoded : std::exchange(m_waiting, {}))
        send(encoded);
}

void peer_sender::ping()
{
    if (m_hooks.now() - m_lastAnswer > m_options.silenceTimeout) {
        disconnected(absl::DeadlineExceededError("no ping was answered within the time-out"));
        return;
    }
    m_stream->send(m_outgoing->seal(std::string(1, static_cast<char>(peer_frame_kind::Ping))));
    setTimer(m_options.pingInterval, &peer_sender::ping);
}

} // namespace plantainlatch
