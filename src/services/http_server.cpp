#include "services/http_server.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <optional>
#include <utility>
#include <vector>

#include <unistd.h>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "codec/http_fields.h"
#include "core/internal_assert.h"
#include "runtime/sockets.h"
#include "runtime/tcp_listener.h"
#include "services/http_connection.h"
#include "services/lingering_close.h"

namespace plantainlatch {

namespace {

    /** The longest waiting connections are searched for once for so many new connections, since a search for each one
     * would take most of the time while there are thousands. */
    constexpr std::size_t searchBatch = 64;
    /** While all requests are being handled, a search for each new connection would take most of the time. */
    constexpr duration fruitlessSearchPause = std::chrono::milliseconds(10);
    /** The connections that are closed but not ended yet may use this part of the descriptors of the others. */
    constexpr std::size_t closingPart = 8;
    /** What an open connection takes without a request. */
    constexpr std::size_t connectionBytes = 2048;

    /** Each request also needs a connection to its upstream, and other VMs must be able to connect. */
    std::size_t connectionLimit(const http_server_options& options)
    {
        const double share = static_cast<double>(maximumDescriptors()) * options.descriptorShare;
        return share < static_cast<double>(options.maximumConnections) ? static_cast<std::size_t>(share)
                                                                       : options.maximumConnections;
    }

    const char* nameOf(answer_loss cause)
    {
        switch (cause) {
        case answer_loss::CallerClosed:
            return "caller-closed";
        case answer_loss::ConnectionFailed:
            return "connection-failed";
        case answer_loss::WriteTimeout:
            return "write-timeout";
        case answer_loss::NoMemory:
            return "no-memory";
        }
        internal_assert(false) << "invalid answer loss " << static_cast<int>(cause);
        return "";
    }

} // namespace

struct http_server::implementation {
    implementation(event_base* base, const kernel_hooks& kernelHooks, http_server_options serverOptions)
        : hooks(kernelHooks)
        , options(std::move(serverOptions))
        , maximumConnections(connectionLimit(options))
        , lingering(hooks, maximumConnections / closingPart + 1)
        , budget(hooks, options.budget)
        , shared { base, options.limits, options.idleTimeout, options.bodyTimeout, lingering, *budget, hooks.now,
            [this](http_connection& connection) { dispatch(connection); },
            [this](http_connection& connection) { callerDisconnected(connection); },
            [this](const http_connection& connection, answer_loss cause) { logLoss(connection, cause); },
            [this](http_connection& connection) { closed(connection); } }
        , connectionLease(shared.budget, buffer_use::Connections, {})
    {
    }

    ~implementation() { stopListening(); }

    /** A request that is not answered yet. */
    struct exchange {
        http_connection* connection = nullptr;
        const http_route* route = nullptr;
    };

    absl::Status listen(const network_address& wanted);
    void stopListening();
    void accepted(int socket);
    /** Counts the memory of so many connections; false if there is no room for them. */
    bool holdConnections(std::size_t count);
    /** Closes the connection that has been idle or unfinished for longest; returns whether there was one. */
    bool closeLongestWaiting();
    void findLongestWaiting();
    void dispatch(http_connection& connection);
    void callerDisconnected(const http_connection& connection);
    void logLoss(const http_connection& connection, answer_loss cause) const;
    void closed(http_connection& connection);
    void closeIf(const std::function<bool(const http_connection&)>& matches);
    const http_route* routeOf(std::string_view path) const;

    const kernel_hooks hooks;
    http_server_options options;
    std::size_t maximumConnections;
    lingering_close lingering;
    given_or_own_budget budget;
    http_connection_parts shared;
    /** Counts all open connections. */
    buffer_lease connectionLease;
    std::unique_ptr<tcp_listener> listener;
    network_address address;
    bool closing = false;
    /** Called once after the last connection has ended. */
    std::function<void()> onEmpty;
    std::vector<std::unique_ptr<http_route>> routes;
    absl::flat_hash_map<const http_connection*, std::shared_ptr<http_connection>> connections;
    struct waiting_connection {
        time_point since;
        std::weak_ptr<http_connection> connection;
    };
    /** The result of the last search, the longest waiting last. */
    std::vector<waiting_connection> longestWaiting;
    time_point nextSearch {};
    absl::flat_hash_map<const http_connection*, exchange_id> exchangeIds;
    absl::flat_hash_map<exchange_id, exchange> exchanges;
    std::uint64_t lastExchange = 0;
};

absl::Status http_server::implementation::listen(const network_address& wanted)
{
    tcp_listener_events events;
    events.onAccept = [this](int socket) { accepted(socket); };
    events.onPause = [this](int error) {
        hooks.log({ log_level::Warning, options.name, "accepts nothing for now",
            { { "why", std::strerror(error) }, { "connections", absl::StrCat(connections.size()) } } });
        if (error == EMFILE)
            closeLongestWaiting();
    };
    auto created = tcp_listener::create(shared.base, hooks, wanted, std::move(events));
    if (!created.ok())
        return absl::UnavailableError(created.status().message());
    listener = std::move(*created);
    address = listener->address();
    return absl::OkStatus();
}

void http_server::implementation::stopListening()
{
    if (listener == nullptr)
        return;
    // Callers may have sent requests on connections that wait to be accepted; closing the listener would reset them.
    listener->acceptPending();
    listener.reset();
}

void http_server::implementation::accepted(int socket)
{
    const bool isFull = connections.size() >= maximumConnections || !holdConnections(connections.size() + 1);
    if (isFull && !closeLongestWaiting()) {
        ::close(socket);
        return;
    }
    std::shared_ptr<http_connection> connection
        = http_connection::accept(shared, socket, caller_address(remoteHost(socket)));
    const http_connection* key = connection.get();
    connections.emplace(key, std::move(connection));
    holdConnections(connections.size());
}

bool http_server::implementation::holdConnections(std::size_t count)
{
    return connectionLease.resize(count * connectionBytes, false);
}

bool http_server::implementation::closeLongestWaiting()
{
    bool searched = false;
    while (true) {
        if (longestWaiting.empty() && !std::exchange(searched, true) && hooks.now() >= nextSearch)
            findLongestWaiting();
        if (longestWaiting.empty())
            return false;
        const waiting_connection found = std::move(longestWaiting.back());
        longestWaiting.pop_back();
        const std::shared_ptr<http_connection> connection = found.connection.lock();
        const bool stillWaits = connection != nullptr && connection->isReadingRequest()
            && connection->waitingSince() == found.since && !connection->hasUnreadInput();
        if (stillWaits) {
            connection->closeUnanswered();
            return true;
        }
    }
}

void http_server::implementation::findLongestWaiting()
{
    const auto isLonger
        = [](const waiting_connection& left, const waiting_connection& right) { return left.since < right.since; };
    for (const auto& [key, connection] : connections) {
        if (connection->isReadingRequest())
            longestWaiting.push_back({ connection->waitingSince(), connection });
    }
    if (longestWaiting.empty())
        nextSearch = hooks.now() + fruitlessSearchPause;
    const std::size_t kept = std::min(searchBatch, longestWaiting.size());
    std::partial_sort(longestWaiting.begin(), longestWaiting.begin() + static_cast<std::ptrdiff_t>(kept),
        longestWaiting.end(), isLonger);
    longestWaiting.resize(kept);
    std::reverse(longestWaiting.begin(), longestWaiting.end());
}

void http_server::implementation::dispatch(http_connection& connection)
{
    const http_request_view view(connection.request(), connection.sentFrom());
    const http_route* route = routeOf(view.path());
    if (route == nullptr) {
        connection.answer(encodeProblem(http_problem::UnknownPath), closing);
        return;
    }
    const exchange_id number(++lastExchange);
    exchanges.emplace(number, exchange { &connection, route });
    exchangeIds.emplace(&connection, number);
    route->onRequest(number, view);
}

void http_server::implementation::callerDisconnected(const http_connection& connection)
{
    const auto found = exchangeIds.find(&connection);
    if (found == exchangeIds.end())
        return;
    const exchange_id number = found->second;
    exchangeIds.erase(found);
    const auto removed = exchanges.extract(number);
    if (!removed.empty() && removed.mapped().route->onDisconnect)
        removed.mapped().route->onDisconnect(number);
}

void http_server::implementation::logLoss(const http_connection& connection, answer_loss cause) const
{
    const header_field* name = http_fields::find(connection.request().headers, options.nameField);
    hooks.log({ log_level::Info, options.name, "answer-lost",
        { { "request", name != nullptr ? name->value : "" }, { "target", connection.request().target },
            { "failure", nameOf(cause) }, { "answered", connection.isAwaitingAnswer() ? "no" : "partly" },
            { "stopping", closing ? "yes" : "no" } } });
}

void http_server::implementation::closed(http_connection& connection)
{
    exchangeIds.erase(&connection);
    connections.erase(&connection);
    holdConnections(connections.size());
    if (connections.empty() && onEmpty)
        hooks.schedule(duration::zero(), std::exchange(onEmpty, nullptr));
}

void http_server::implementation::closeIf(const std::function<bool(const http_connection&)>& matches)
{
    std::vector<std::shared_ptr<http_connection>> open;
    for (const auto& [key, connection] : connections) {
        if (matches(*connection))
            open.push_back(connection);
    }
    for (const auto& connection : open)
        connection->close();
}

const http_route* http_server::implementation::routeOf(std::string_view path) const
{
    for (const auto& route : routes) {
        if (path.starts_with(route->prefix))
            return route.get();
    }
    return nullptr;
}

http_server::http_server(std::unique_ptr<implementation> parts)
    : m_parts(std::move(parts))
{
}

http_server::~http_server() = default;

absl::StatusOr<std::unique_ptr<http_server>> http_server::create(
    event_base* base, const kernel_hooks& hooks, const network_address& address, http_server_options options)
{
    auto parts = std::make_unique<implementation>(base, hooks, std::move(options));
    const absl::Status status = parts->listen(address);
    if (!status.ok())
        return status;
    return std::unique_ptr<http_server>(new http_server(std::move(parts)));
}

void http_server::addRoute(http_route route)
{
    auto& routes = m_parts->routes;
    const auto insertionPoint = std::find_if(
        routes.begin(), routes.end(), [&](const auto& other) { return other->prefix.size() < route.prefix.size(); });
    routes.insert(insertionPoint, std::make_unique<http_route>(std::move(route)));
}

void http_server::respond(exchange_id exchange, const http_answer& answer)
{
    const auto answered = m_parts->exchanges.extract(exchange);
    if (answered.empty())
        return;
    http_connection& connection = *answered.mapped().connection;
    m_parts->exchangeIds.erase(&connection);
    connection.answer(answer, m_parts->closing);
}

caller_check http_server::senderCheck(exchange_id exchange) const
{
    return [this, exchange] {
        const auto found = m_parts->exchanges.find(exchange);
        return found != m_parts->exchanges.end() && !found->second.connection->isClosedByCaller();
    };
}

void http_server::closeAfterAnswers() { m_parts->closing = true; }

void http_server::stop(std::function<void()> stopped)
{
    closeAfterAnswers();
    stopListening();
    if (m_parts->connections.empty()) {
        stopped();
        return;
    }
    m_parts->onEmpty = std::move(stopped);
    m_parts->hooks.schedule(m_parts->options.unfinishedGrace, [this] { closeUnfinished(); });
}

void http_server::closeUnfinished()
{
    m_parts->closeIf([](const http_connection& connection) { return connection.isReadingRequest(); });
}

void http_server::stopListening()
{
    m_parts->stopListening();
    m_parts->closeIf(
        [](const http_connection& connection) { return !connection.isBusy() && !connection.hasUnreadInput(); });
}

network_address http_server::address() const { return m_parts->address; }

std::size_t http_server::inFlight() const { return m_parts->exchanges.size(); }

buffer_budget& http_server::budget() { return m_parts->shared.budget; }

std::size_t http_server::connections() const { return m_parts->connections.size(); }

service http_server::asService()
{
    service item;
    item.name = m_parts->options.name;
    item.start = [this](registry& services) { return services.publish(m_parts->options.name, *this); };
    item.stop = [this](std::function<void()> stopped) { stop(std::move(stopped)); };
    item.dump = [this] {
        state_dump dump;
        dump.add("connections", static_cast<std::uint64_t>(connections()));
        dump.add("requests_in_flight", static_cast<std::uint64_t>(inFlight()));
        return dump;
    };
    return item;
}

} // namespace plantainlatch
