#include "error/slow_relay.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "core/internal_assert.h"
#include "runtime/sockets.h"

namespace plantainlatch {

namespace {

    /** The limit is refilled this often. */
    constexpr int ticksPerSecond = 50;
    constexpr timeval tick { 0, 1'000'000 / ticksPerSecond };

    void passOn(bufferevent* from, bufferevent* to) { bufferevent_write_buffer(to, bufferevent_get_input(from)); }

} // namespace

slow_relay::slow_relay(
    event_loop& loop, const network_address& address, const network_address& target, std::size_t bytesPerSecond)
    : m_loop(loop)
    , m_target(target)
{
    const std::size_t bytesPerTick = bytesPerSecond / ticksPerSecond;
    m_limit = ev_token_bucket_cfg_new(bytesPerTick, bytesPerTick, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, &tick);
    auto listener = tcp_listener::create(
        loop.base(), loop.hooks([](const log_event&) {}), address, { [this](int socket) { accept(socket); }, nullptr });
    internal_assert(listener.ok()) << "the relay can't listen on " << formatAddress(address);
    m_listener = std::move(*listener);
}

slow_relay::~slow_relay()
{
    for (connection& item : m_connections)
        item.close();
    ev_token_bucket_cfg_free(m_limit);
}

void slow_relay::connection::close()
{
    for (bufferevent** side : { &from, &to }) {
        if (*side != nullptr)
            bufferevent_free(*side);
        *side = nullptr;
    }
}

void slow_relay::accept(int socket)
{
    connection& item = m_connections.emplace_back();
    item.from = bufferevent_socket_new(m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    item.to = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_set_rate_limit(item.from, m_limit);
    const auto onEvent = [](bufferevent*, short what, void* argument) {
        if ((what & BEV_EVENT_CONNECTED) == 0)
            static_cast<connection*>(argument)->close();
    };
    bufferevent_setcb(
        item.from, [](bufferevent* from, void* argument) { passOn(from, static_cast<connection*>(argument)->to); },
        nullptr, onEvent, &item);
    bufferevent_setcb(
        item.to, [](bufferevent* to, void* argument) { passOn(to, static_cast<connection*>(argument)->from); }, nullptr,
        onEvent, &item);
    bufferevent_enable(item.from, EV_READ | EV_WRITE);
    bufferevent_enable(item.to, EV_READ | EV_WRITE);
    sockaddr_in target = toSocketAddress(m_target);
    bufferevent_socket_connect(item.to, reinterpret_cast<sockaddr*>(&target), sizeof(target));
}

void slow_relay::freeze()
{
    for (const connection& item : m_connections) {
        for (bufferevent* side : { item.from, item.to }) {
            if (side != nullptr)
                bufferevent_disable(side, EV_READ | EV_WRITE);
        }
    }
}

} // namespace plantainlatch
