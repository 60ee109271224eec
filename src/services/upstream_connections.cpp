#include "services/upstream_connections.h"

#include <algorithm>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "absl/strings/str_cat.h"
#include "core/internal_assert.h"
#include "runtime/sockets.h"

namespace plantainlatch {

namespace {

    /** Replaces evhttp's shorter default. Each call has its own timer, which fires long before this time-out. */
    constexpr timeval libraryTimeout { 3600, 0 };
    constexpr std::size_t descriptorDivisor = 8;
    constexpr std::size_t descriptorShare = 3;
    /** How often it is checked whether there is memory for answers that are not read. */
    constexpr duration resumeInterval = std::chrono::milliseconds(20);
    /** The unread bytes of an answer that the operating system buffers while it is not read. */
    constexpr std::size_t unreadAnswerBytes = 64 * 1024;

    evutil_socket_t socketOf(const upstream_connection& connection)
    {
        return bufferevent_getfd(evhttp_connection_get_bufferevent(connection.handle));
    }

    /** Prepares a socket for its end. A connection with a request that was not answered is reset, as the library would
     * close it in the ordinary way. */
    void endSocket(const upstream_connection& connection)
    {
        const evutil_socket_t socket = socketOf(connection);
        if (socket < 0)
            return;
        if (connection.exchange != 0)
            resetConnection(socket);
        else
            setResetOnClose(socket, false);
    }

} // namespace

std::size_t openConnectionLimit() { return maximumDescriptors() / descriptorDivisor * descriptorShare; }

upstream_connections::upstream_connections(event_base* base, const kernel_hooks& hooks, buffer_budget& budget,
    upstream_connection_limits limits, upstream_connection_events events)
    : m_base(base)
    , m_hooks(hooks)
    , m_budget(budget)
    , m_limits(limits)
    , m_events(std::move(events))
{
}

upstream_connections::~upstream_connections()
{
    m_hooks.cancel(m_freeTimer);
    m_hooks.cancel(m_expiryTimer);
    m_hooks.cancel(m_resumeTimer);
    freeClosed();
    for (auto& [address, connections] : m_pools) {
        for (const auto& connection : connections.all) {
            endSocket(*connection);
            evhttp_connection_free(connection->handle);
        }
    }
}

upstream_connection* upstream_connections::acquire(const network_address& address, std::uint32_t limit, bool fresh)
{
    pool& connections = m_pools[address];
    if (!fresh) {
        if (upstream_connection* idle = takeIdle(connections))
            return idle;
    }
    if (connections.all.size() >= limit)
        closeOneIdle(connections);
    if (connections.all.size() >= limit)
        return nullptr;
    if (m_open >= m_limits.maximumOpen)
        closeAnyIdle();
    return open(connections, address);
}

upstream_connection* upstream_connections::takeIdle(pool& from)
{
    for (std::size_t i = from.all.size(); i-- > 0;) {
        upstream_connection& candidate = *from.all[i];
        if (!candidate.idle)
            continue;
        if (!isReusable(candidate)) {
            discard(candidate);
            continue;
        }
        candidate.idle = false;
        candidate.dispatched = false;
        candidate.isReused = true;
        --m_idle;
        return &candidate;
    }
    return nullptr;
}

upstream_connection* upstream_connections::open(pool& into, const network_address& address)
{
    evhttp_connection* handle = evhttp_connection_base_new(m_base, nullptr, address.host.c_str(), address.port);
    internal_assert(handle != nullptr) << "no memory for a connection";
    evhttp_connection_set_timeout_tv(handle, &libraryTimeout);
    evhttp_connection_set_max_headers_size(handle, static_cast<ev_ssize_t>(m_limits.maximumAnswerHeaders.value()));
    evhttp_connection_set_max_body_size(handle, static_cast<ev_ssize_t>(m_limits.maximumAnswerBody.value()));
    auto connection = std::make_unique<upstream_connection>();
    connection->handle = handle;
    connection->address = address;
    connection->owner = this;
    connection->answer = std::make_unique<received_answer>(
        m_budget, m_limits.maximumAnswerBody, [this, raw = connection.get()] { giveUp(*raw); });
    evbuffer_add_cb(bufferevent_get_output(evhttp_connection_get_bufferevent(handle)), outputChanged, connection.get());
    // evhttp waits for the end of a line that begins a chunk, however long it is. Beyond the high-water mark, reading
    // from the socket pauses.
    bufferevent* channel = evhttp_connection_get_bufferevent(handle);
    evbuffer_add_cb(bufferevent_get_input(channel), inputChanged, connection.get());
    bufferevent_setwatermark(channel, EV_READ, 0, maximumInput());
    into.all.push_back(std::move(connection));
    ++m_open;
    return into.all.back().get();
}

void upstream_connections::outputChanged(evbuffer*, const evbuffer_cb_info* info, void* argument)
{
    auto& connection = *static_cast<upstream_connection*>(argument);
    if (info->n_added == 0 || connection.dispatched || connection.closed)
        return;
    connection.dispatched = true;
    if (!std::exchange(connection.configured, true)) {
        disableNagle(socketOf(connection));
        // A request that is given up must not wait in the network and arrive later.
        setResetOnClose(socketOf(connection), true);
    }
    connection.owner->m_events.onDispatch(connection);
}

std::size_t upstream_connections::maximumInput() const
{
    return m_limits.maximumAnswerHeaders.value() + m_limits.maximumAnswerBody.value();
}

void upstream_connections::inputChanged(evbuffer* buffer, const evbuffer_cb_info* info, void* argument)
{
    auto& connection = *static_cast<upstream_connection*>(argument);
    upstream_connections& owner = *connection.owner;
    if (info->n_added == 0 || connection.closed || connection.exchange == 0)
        return;
    if (!owner.validate(connection, buffer, info->n_added) || evbuffer_get_length(buffer) >= owner.maximumInput())
        owner.m_events.onUnusableInput(connection);
    owner.countReceived(connection, info->n_added);
}

bool upstream_connections::validate(upstream_connection& connection, evbuffer* buffer, std::size_t addedBytes) const
{
    http_answer_validator& validator = connection.answer->validator();
    if (!validator.status().ok())
        return false;
    // What was added is at the end of the buffer; the library has not consumed any of it yet.
    evbuffer_ptr added {};
    evbuffer_ptr_set(buffer, &added, evbuffer_get_length(buffer) - addedBytes, EVBUFFER_PTR_SET);
    const int count = evbuffer_peek(buffer, -1, &added, nullptr, 0);
    std::vector<evbuffer_iovec> pieces(static_cast<std::size_t>(count));
    evbuffer_peek(buffer, -1, &added, pieces.data(), count);
    for (const evbuffer_iovec& piece : pieces)
        validator.feed({ static_cast<const char*>(piece.iov_base), piece.iov_len });
    if (validator.status().ok())
        return true;
    m_hooks.log({ log_level::Warning, "upstreams", "an answer is not valid HTTP",
        { { "upstream", formatAddress(connection.address) }, { "why", std::string(validator.status().message()) } } });
    return false;
}

void upstream_connections::countReceived(upstream_connection& connection, std::size_t bytes)
{
    if (connection.givenUp)
        return;
    connection.answer->addReceived(bytes);
    m_received += bytes;
    if (m_received > m_limits.maximumReceived.value())
        endLargest();
    if (connection.givenUp)
        return;
    if (connection.answer->hold())
        connection.answer->recordProgress(bytes);
    else
        pause(connection);
}

void upstream_connections::pause(upstream_connection& connection)
{
    if (std::exchange(connection.paused, true))
        return;
    bufferevent_disable(evhttp_connection_get_bufferevent(connection.handle), EV_READ);
    limitUnread(socketOf(connection), unreadAnswerBytes);
    m_paused.push_back(&connection);
    if (m_resumeTimer == timer_id())
        m_resumeTimer = m_hooks.schedule(resumeInterval, [this] { resumePaused(); });
}

void upstream_connections::resume(upstream_connection& connection)
{
    if (!std::exchange(connection.paused, false))
        return;
    std::erase(m_paused, &connection);
    bufferevent_enable(evhttp_connection_get_bufferevent(connection.handle), EV_READ);
}

void upstream_connections::resumePaused()
{
    m_resumeTimer = timer_id();
    // Holding the memory of one may give up another, but no connection ends before the next iteration of the event
    // loop.
    for (upstream_connection* connection : std::vector(m_paused)) {
        if (connection->givenUp || connection->answer->hold())
            resume(*connection);
    }
    if (!m_paused.empty())
        m_resumeTimer = m_hooks.schedule(resumeInterval, [this] { resumePaused(); });
}

void upstream_connections::forgetReceived(upstream_connection& connection)
{
    m_received -= connection.answer->received();
    connection.answer->release();
}

void upstream_connections::endLargest()
{
    upstream_connection* largest = nullptr;
    for (const auto& [address, connections] : m_pools) {
        for (const auto& connection : connections.all) {
            if (largest == nullptr || connection->answer->received() > largest->answer->received())
                largest = connection.get();
        }
    }
    internal_assert(largest != nullptr && largest->answer->received() > 0)
        << m_received << " bytes received by no connection";
    m_hooks.log({ log_level::Warning, "upstreams", "an answer is given up, as those that are incomplete are too large",
        { { "upstream", formatAddress(largest->address) },
            { "received_bytes", absl::StrCat(largest->answer->received()) },
            { "all_bytes", absl::StrCat(m_received) } } });
    giveUp(*largest);
}

void upstream_connections::giveUp(upstream_connection& connection)
{
    forgetReceived(connection);
    connection.givenUp = true;
    m_events.onUnusableInput(connection);
}

bool upstream_connections::isReusable(const upstream_connection& connection) const
{
    if (m_hooks.now() - connection.idleSince > m_limits.idleReuse)
        return false;
    const evutil_socket_t socket = socketOf(connection);
    if (socket < 0)
        return false;
    // A connection with unread input is not reused, because no request is in flight that the input could answer. An
    // end of the stream means that the upstream has closed the connection.
    return peekInput(socket) == socket_input::None;
}

void upstream_connections::beginExchange(upstream_connection& connection, std::uint64_t exchange, bool head) const
{
    connection.exchange = exchange;
    connection.answer->begin(head, m_limits.maximumAnswerHeaders.value());
}

void upstream_connections::release(upstream_connection& connection)
{
    internal_assert(!connection.idle) << "connection to " << formatAddress(connection.address) << " released twice";
    forgetReceived(connection);
    resume(connection);
    connection.exchange = 0;
    bufferevent* channel = evhttp_connection_get_bufferevent(connection.handle);
    const bool unread = evbuffer_get_length(bufferevent_get_input(channel)) > 0;
    if (bufferevent_getfd(channel) < 0 || unread || connection.givenUp || m_idle >= m_limits.maximumIdle) {
        discard(connection);
        return;
    }
    connection.idle = true;
    connection.idleSince = m_hooks.now();
    ++m_idle;
    scheduleExpiry();
}

void upstream_connections::discard(upstream_connection& connection)
{
    const auto found = m_pools.find(connection.address);
    internal_assert(found != m_pools.end()) << "no connections to " << formatAddress(connection.address);
    auto& all = found->second.all;
    const auto position
        = std::find_if(all.begin(), all.end(), [&](const auto& item) { return item.get() == &connection; });
    internal_assert(position != all.end()) << "connection to " << formatAddress(connection.address) << " closed twice";
    forgetReceived(connection);
    resume(connection);
    if (connection.idle)
        --m_idle;
    --m_open;
    std::unique_ptr<upstream_connection> removed = std::move(*position);
    all.erase(position);
    freeLater(std::move(removed));
}

void upstream_connections::abortDispatch(upstream_connection& connection)
{
    connection.dispatched = false;
    shutdown(socketOf(connection), SHUT_RDWR);
}

void upstream_connections::closeOneIdle(pool& from)
{
    const auto position = std::find_if(from.all.begin(), from.all.end(), [](const auto& item) { return item->idle; });
    if (position != from.all.end())
        discard(**position);
}

void upstream_connections::closeAnyIdle()
{
    const auto hasIdle = [](const auto& item) {
        return std::any_of(item.second.all.begin(), item.second.all.end(), [](const auto& one) { return one->idle; });
    };
    const auto found = m_idle > 0 ? std::find_if(m_pools.begin(), m_pools.end(), hasIdle) : m_pools.end();
    if (found != m_pools.end())
        closeOneIdle(found->second);
}

void upstream_connections::closeIdleConnections(const network_address& address)
{
    const auto found = m_pools.find(address);
    if (found == m_pools.end())
        return;
    auto& all = found->second.all;
    for (std::size_t i = all.size(); i-- > 0;) {
        if (all[i]->idle)
            discard(*all[i]);
    }
    if (all.empty())
        m_pools.erase(found);
}

void upstream_connections::closeIdle()
{
    std::vector<network_address> addresses;
    for (const auto& [address, connections] : m_pools)
        addresses.push_back(address);
    for (const network_address& address : addresses)
        closeIdleConnections(address);
}

void upstream_connections::freeLater(std::unique_ptr<upstream_connection> connection)
{
    connection->closed = true;
    // The connection may still be established before it is freed, and evhttp would then send the request. Removing the
    // callbacks prevents this, and buffered bytes are not sent once writing is disabled.
    bufferevent* channel = evhttp_connection_get_bufferevent(connection->handle);
    bufferevent_setcb(channel, nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(channel, EV_READ | EV_WRITE);
    endSocket(*connection);
    m_closed.push_back(std::move(connection));
    if (m_freeTimer == timer_id())
        m_freeTimer = m_hooks.schedule(duration::zero(), [this] { freeClosed(); });
}

void upstream_connections::freeClosed()
{
    m_freeTimer = timer_id();
    for (const auto& connection : std::exchange(m_closed, {}))
        evhttp_connection_free(connection->handle);
}

void upstream_connections::scheduleExpiry()
{
    if (m_expiryTimer == timer_id())
        m_expiryTimer = m_hooks.schedule(m_limits.idleReuse, [this] { closeExpired(); });
}

void upstream_connections::closeExpired()
{
    m_expiryTimer = timer_id();
    const time_point now = m_hooks.now();
    for (auto position = m_pools.begin(); position != m_pools.end();) {
        auto& all = position->second.all;
        for (std::size_t i = all.size(); i-- > 0;) {
            if (all[i]->idle && now - all[i]->idleSince >= m_limits.idleReuse)
                discard(*all[i]);
        }
        position = all.empty() ? m_pools.erase(position) : std::next(position);
    }
    if (m_idle > 0)
        scheduleExpiry();
}

} // namespace plantainlatch
