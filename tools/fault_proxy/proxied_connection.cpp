#include "fault_proxy/proxied_connection.h"

#include <utility>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "runtime/sockets.h"

namespace plantainlatch {

namespace {

    /** While this number of bytes is undelivered in one direction, no more bytes are read from its sender. */
    constexpr std::size_t maximumBuffered = 1024 * 1024;
    constexpr std::size_t readSize = 64 * 1024;
    constexpr duration pollInterval = std::chrono::milliseconds(5);

} // namespace

std::unique_ptr<proxied_connection> proxied_connection::create(event_base* base, const kernel_hooks& hooks,
    int accepted, const network_address& target, const fault_set& faults, std::function<void()> onEnd)
{
    std::unique_ptr<proxied_connection> created(new proxied_connection(hooks, faults, std::move(onEnd)));
    created->connect(base, accepted, target);
    return created;
}

proxied_connection::proxied_connection(const kernel_hooks& hooks, const fault_set& faults, std::function<void()> onEnd)
    : m_hooks(hooks)
    , m_faults(faults)
    , m_onEnd(std::move(onEnd))
{
}

proxied_connection::~proxied_connection()
{
    *m_alive = false;
    for (byte_stream& stream : m_streams) {
        if (stream.from != nullptr)
            bufferevent_free(stream.from);
    }
    if (m_rate != nullptr)
        ev_token_bucket_cfg_free(m_rate);
}

void proxied_connection::connect(event_base* base, int accepted, const network_address& target)
{
    bufferevent* clientSide = bufferevent_socket_new(base, accepted, BEV_OPT_CLOSE_ON_FREE);
    bufferevent* targetSide = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    m_streams[0] = { this, stream_direction::Up, clientSide, targetSide };
    m_streams[1] = { this, stream_direction::Down, targetSide, clientSide };
    for (byte_stream& stream : m_streams) {
        bufferevent_setcb(
            stream.from,
            [](bufferevent*, void* argument) {
                auto& readFrom = *static_cast<byte_stream*>(argument);
                readFrom.owner->onReadable(readFrom);
            },
            nullptr,
            [](bufferevent* side, short events, void* argument) {
                auto& closedBy = *static_cast<byte_stream*>(argument);
                if ((events & BEV_EVENT_CONNECTED) != 0)
                    disableNagle(bufferevent_getfd(side));
                else
                    closedBy.owner->onSenderClosed(closedBy);
            },
            &stream);
    }
    disableNagle(bufferevent_getfd(clientSide));
    const sockaddr_in address = toSocketAddress(target);
    if (bufferevent_socket_connect(targetSide, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
        m_hooks.schedule(duration::zero(), [this, alive = m_alive] {
            if (*alive)
                cut();
        });
    onFaultsChanged();
}

void proxied_connection::onFaultsChanged()
{
    for (byte_stream& stream : m_streams)
        applyFaults(stream);
}

bool proxied_connection::isBlocked(const byte_stream& stream) const
{
    return m_silent || m_faults.stops(stream.direction);
}

void proxied_connection::applyFaults(byte_stream& stream)
{
    if (m_closed)
        return;
    if (m_faults.rate.value() > 0 && m_rate == nullptr) {
        const std::size_t rate = m_faults.rate.value();
        m_rate = ev_token_bucket_cfg_new(rate, rate, rate, rate, nullptr);
    }
    bufferevent_set_rate_limit(stream.from, m_faults.rate.value() > 0 ? m_rate : nullptr);
    if (isBlocked(stream))
        bufferevent_disable(stream.from, EV_READ);
    else
        bufferevent_enable(stream.from, EV_READ);
    if (!isBlocked(stream) && evbuffer_get_length(bufferevent_get_input(stream.from)) > 0)
        onReadable(stream);
}

void proxied_connection::onReadable(byte_stream& stream)
{
    evbuffer* input = bufferevent_get_input(stream.from);
    while (!m_closed && !isBlocked(stream) && evbuffer_get_length(input) > 0) {
        const std::size_t buffered = stream.delayedBytes + evbuffer_get_length(bufferevent_get_output(stream.to));
        if (buffered >= maximumBuffered) {
            bufferevent_disable(stream.from, EV_READ);
            m_hooks.schedule(pollInterval, [this, &stream, alive = m_alive] {
                if (*alive)
                    applyFaults(stream);
            });
            return;
        }
        std::string bytes(readSize, '\0');
        bytes.resize(static_cast<std::size_t>(evbuffer_remove(input, bytes.data(), bytes.size())));
        forward(stream, std::move(bytes));
    }
}

void proxied_connection::forward(byte_stream& stream, std::string bytes)
{
    const time_point due = std::max(m_hooks.now() + m_faults.delay, stream.lastDue);
    if (due <= m_hooks.now() && stream.delayedBytes == 0) {
        deliver(stream, bytes);
        return;
    }
    stream.lastDue = due;
    stream.delayedBytes += bytes.size();
    m_hooks.schedule(due - m_hooks.now(), [this, &stream, alive = m_alive, bytes = std::move(bytes)] {
        if (!*alive || m_closed)
            return;
        stream.delayedBytes -= bytes.size();
        deliver(stream, bytes);
        closeWhenDelivered(stream);
    });
}

void proxied_connection::deliver(byte_stream& stream, const std::string& bytes)
{
    std::size_t size = bytes.size();
    const bool isLimited = stream.direction == stream_direction::Down && m_faults.truncateAfter.has_value();
    const bool isTruncated = isLimited && stream.forwardedBytes + size >= m_faults.truncateAfter->value();
    if (isTruncated)
        size = m_faults.truncateAfter->value() - std::min(stream.forwardedBytes, m_faults.truncateAfter->value());
    stream.forwardedBytes += size;
    bufferevent_write(stream.to, bytes.data(), size);
    if (isTruncated) {
        bufferevent_flush(stream.to, EV_WRITE, BEV_FLUSH);
        m_hooks.schedule(pollInterval, [this, alive = m_alive] {
            if (*alive)
                end();
        });
    }
}

void proxied_connection::onSenderClosed(byte_stream& stream)
{
    stream.closing = true;
    if (m_faults.halfOpen || isBlocked(stream))
        return;
    onReadable(stream);
    closeWhenDelivered(stream);
}

void proxied_connection::closeWhenDelivered(byte_stream& stream)
{
    if (!stream.closing || stream.delayedBytes > 0 || m_closed)
        return;
    if (evbuffer_get_length(bufferevent_get_output(stream.to)) == 0) {
        end();
        return;
    }
    m_hooks.schedule(pollInterval, [this, &stream, alive = m_alive] {
        if (*alive)
            closeWhenDelivered(stream);
    });
}

void proxied_connection::silence()
{
    m_silent = true;
    onFaultsChanged();
}

void proxied_connection::cut()
{
    if (m_closed)
        return;
    for (byte_stream& stream : m_streams)
        resetOnClose(stream.from);
    end();
}

void proxied_connection::resetOnClose(bufferevent* side)
{
    const evutil_socket_t socket = bufferevent_getfd(side);
    const linger resetOnCloseOption { 1, 0 };
    if (socket >= 0)
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &resetOnCloseOption, sizeof resetOnCloseOption);
}

void proxied_connection::end()
{
    if (m_closed)
        return;
    m_closed = true;
    for (byte_stream& stream : m_streams)
        bufferevent_disable(stream.from, EV_READ | EV_WRITE);
    m_hooks.schedule(duration::zero(), [onEnd = m_onEnd] { onEnd(); });
}

} // namespace plantainlatch
