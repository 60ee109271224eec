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

    /** Bytes that one direction holds before it reads no more. */
    constexpr std::size_t largestHeld = 1024 * 1024;
    constexpr std::size_t readSize = 64 * 1024;
    constexpr duration heldCheckInterval = std::chrono::milliseconds(5);

} // namespace

std::unique_ptr<proxied_connection> proxied_connection::create(event_base* base, const kernel_hooks& hooks,
    int accepted, const network_address& target, const fault_set& faults, std::function<void()> ended)
{
    std::unique_ptr<proxied_connection> created(new proxied_connection(hooks, faults, std::move(ended)));
    created->connect(base, accepted, target);
    return created;
}

proxied_connection::proxied_connection(const kernel_hooks& hooks, const fault_set& faults, std::function<void()> ended)
    : m_hooks(hooks)
    , m_faults(faults)
    , m_ended(std::move(ended))
{
}

proxied_connection::~proxied_connection()
{
    *m_alive = false;
    for (direction& item : m_directions) {
        if (item.from != nullptr)
            bufferevent_free(item.from);
    }
    if (m_rate != nullptr)
        ev_token_bucket_cfg_free(m_rate);
}

void proxied_connection::connect(event_base* base, int accepted, const network_address& target)
{
    bufferevent* caller = bufferevent_socket_new(base, accepted, BEV_OPT_CLOSE_ON_FREE);
    bufferevent* callee = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    m_directions[0] = { this, flow::Up, caller, callee };
    m_directions[1] = { this, flow::Down, callee, caller };
    for (direction& item : m_directions) {
        bufferevent_setcb(
            item.from,
            [](bufferevent*, void* argument) {
                auto& readFrom = *static_cast<direction*>(argument);
                readFrom.owner->readable(readFrom);
            },
            nullptr,
            [](bufferevent* side, short what, void* argument) {
                auto& closedBy = *static_cast<direction*>(argument);
                if ((what & BEV_EVENT_CONNECTED) != 0)
                    sendWithoutDelay(bufferevent_getfd(side));
                else
                    closedBy.owner->senderClosed(closedBy);
            },
            &item);
    }
    sendWithoutDelay(bufferevent_getfd(caller));
    const sockaddr_in address = toSocketAddress(target);
    if (bufferevent_socket_connect(callee, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
        m_hooks.schedule(duration::zero(), [this, alive = m_alive] {
            if (*alive)
                cut();
        });
    faultsChanged();
}

void proxied_connection::faultsChanged()
{
    for (direction& item : m_directions)
        applyFaults(item);
}

bool proxied_connection::isBlocked(const direction& item) const { return m_silent || m_faults.stops(item.way); }

void proxied_connection::applyFaults(direction& item)
{
    if (m_over)
        return;
    if (m_faults.rate.value() > 0 && m_rate == nullptr) {
        const std::size_t rate = m_faults.rate.value();
        m_rate = ev_token_bucket_cfg_new(rate, rate, rate, rate, nullptr);
    }
    bufferevent_set_rate_limit(item.from, m_faults.rate.value() > 0 ? m_rate : nullptr);
    if (isBlocked(item))
        bufferevent_disable(item.from, EV_READ);
    else
        bufferevent_enable(item.from, EV_READ);
    if (!isBlocked(item) && evbuffer_get_length(bufferevent_get_input(item.from)) > 0)
        readable(item);
}

void proxied_connection::readable(direction& item)
{
    evbuffer* input = bufferevent_get_input(item.from);
    while (!m_over && !isBlocked(item) && evbuffer_get_length(input) > 0) {
        const std::size_t held = item.delayed + evbuffer_get_length(bufferevent_get_output(item.to));
        if (held >= largestHeld) {
            bufferevent_disable(item.from, EV_READ);
            m_hooks.schedule(heldCheckInterval, [this, &item, alive = m_alive] {
                if (*alive)
                    applyFaults(item);
            });
            return;
        }
        std::string bytes(readSize, '\0');
        bytes.resize(static_cast<std::size_t>(evbuffer_remove(input, bytes.data(), bytes.size())));
        pass(item, std::move(bytes));
    }
}

void proxied_connection::pass(direction& item, std::string bytes)
{
    const time_point due = std::max(m_hooks.now() + m_faults.delay, item.lastDue);
    if (due <= m_hooks.now() && item.delayed == 0) {
        arrive(item, bytes);
        return;
    }
    item.lastDue = due;
    item.delayed += bytes.size();
    m_hooks.schedule(due - m_hooks.now(), [this, &item, alive = m_alive, bytes = std::move(bytes)] {
        if (!*alive || m_over)
            return;
        item.delayed -= bytes.size();
        arrive(item, bytes);
        closeIfPassed(item);
    });
}

void proxied_connection::arrive(direction& item, const std::string& bytes)
{
    std::size_t size = bytes.size();
    const bool isCounted = item.way == flow::Down && m_faults.truncateAfter.has_value();
    const bool isTruncated = isCounted && item.passed + size >= m_faults.truncateAfter->value();
    if (isTruncated)
        size = m_faults.truncateAfter->value() - std::min(item.passed, m_faults.truncateAfter->value());
    item.passed += size;
    bufferevent_write(item.to, bytes.data(), size);
    if (isTruncated) {
        bufferevent_flush(item.to, EV_WRITE, BEV_FLUSH);
        m_hooks.schedule(heldCheckInterval, [this, alive = m_alive] {
            if (*alive)
                end();
        });
    }
}

void proxied_connection::senderClosed(direction& item)
{
    item.closing = true;
    if (m_faults.halfOpen || isBlocked(item))
        return;
    readable(item);
    closeIfPassed(item);
}

void proxied_connection::closeIfPassed(direction& item)
{
    if (!item.closing || item.delayed > 0 || m_over)
        return;
    if (evbuffer_get_length(bufferevent_get_output(item.to)) == 0) {
        end();
        return;
    }
    m_hooks.schedule(heldCheckInterval, [this, &item, alive = m_alive] {
        if (*alive)
            closeIfPassed(item);
    });
}

void proxied_connection::silence()
{
    m_silent = true;
    faultsChanged();
}

void proxied_connection::cut()
{
    if (m_over)
        return;
    for (direction& item : m_directions)
        reset(item.from);
    end();
}

void proxied_connection::reset(bufferevent* side)
{
    const evutil_socket_t socket = bufferevent_getfd(side);
    const linger immediate { 1, 0 };
    if (socket >= 0)
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
}

void proxied_connection::end()
{
    if (m_over)
        return;
    m_over = true;
    for (direction& item : m_directions)
        bufferevent_disable(item.from, EV_READ | EV_WRITE);
    m_hooks.schedule(duration::zero(), [ended = m_ended] { ended(); });
}

} // namespace plantainlatch
