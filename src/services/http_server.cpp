#include "services/http_server.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <evhtp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "codec/http_fields.h"
#include "core/internal_assert.h"

namespace plantainlatch {

namespace {

    constexpr int listenBacklog = 1024;
    /** What is read of a request too large for its limit, as a multiple of it, so that the answer can be taken. */
    constexpr std::uint64_t discardFactor = 8;
    /** What may wait on a connection behind the request that runs. */
    constexpr std::size_t pipelinedBytes = 64 * 1024;
    /** With this low watermark the library reads, and so sees the caller leave, but parses nothing. */
    constexpr std::size_t parseNothing = SIZE_MAX;
    /** What a header line has beside its name and its value. */
    constexpr std::uint64_t headerLineOverhead = 4;

    template <typename Function> evhtp_hook asHook(Function* function)
    {
        return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(function));
    }

    timeval toTimeval(duration span) { return { std::chrono::duration_cast<std::chrono::seconds>(span).count(), 0 }; }

    bool hasByte(const char* text, std::size_t size, char byte) { return std::memchr(text, byte, size) != nullptr; }

    std::uint16_t portOf(const evhtp_t* server)
    {
        sockaddr_in local {};
        socklen_t size = sizeof(local);
        getsockname(evconnlistener_get_fd(server->server), reinterpret_cast<sockaddr*>(&local), &size);
        return ntohs(local.sin_port);
    }

    /** Sends the parts at once where nothing waits before them, which spares the loop a round; what the socket does not
     * take waits in the output buffer. */
    void sendOrKeep(bufferevent* channel, std::array<std::string_view, 3> parts)
    {
        evbuffer* output = bufferevent_get_output(channel);
        std::size_t sent = 0;
        if (evbuffer_get_length(output) == 0) {
            std::array<iovec, 3> vectors {};
            for (std::size_t i = 0; i < parts.size(); ++i)
                vectors[i] = { const_cast<char*>(parts[i].data()), parts[i].size() };
            msghdr message {};
            message.msg_iov = vectors.data();
            message.msg_iovlen = vectors.size();
            const ssize_t result = sendmsg(bufferevent_getfd(channel), &message, MSG_NOSIGNAL | MSG_DONTWAIT);
            sent = result > 0 ? static_cast<std::size_t>(result) : 0;
        }
        for (std::string_view& part : parts) {
            const std::size_t skipped = std::min(sent, part.size());
            part.remove_prefix(skipped);
            sent -= skipped;
            evbuffer_add(output, part.data(), part.size());
        }
        // The library ends the request from its write callback.
        if (evbuffer_get_length(output) == 0)
            bufferevent_trigger(channel, EV_WRITE, BEV_OPT_DEFER_CALLBACKS);
    }

    void endConnectionAfter(evhtp_request_t* request)
    {
        request->flags &= static_cast<std::uint16_t>(~EVHTP_REQ_FLAG_KEEPALIVE);
    }

    std::string_view fieldName(const evhtp_header_t& field) { return { field.key, field.klen }; }

} // namespace

struct http_server::implementation {
    /** A caller's connection with the request that it is in. */
    struct caller_connection {
        implementation* owner = nullptr;
        evhtp_connection_t* handle = nullptr;
        evhtp_request_t* request = nullptr;
        const http_route* route = nullptr;
        exchange_id exchange;
        std::uint64_t headerBytes = 0;
        std::uint64_t bodyBytes = 0;
        bool hasLength = false;
        bool hasEncoding = false;
        http_problem problem = http_problem::None;

        void reset()
        {
            request = nullptr;
            route = nullptr;
            exchange = exchange_id();
            headerBytes = 0;
            bodyBytes = 0;
            hasLength = false;
            hasEncoding = false;
            problem = http_problem::None;
        }
    };

    implementation(const kernel_hooks& kernelHooks, http_server_options serverOptions)
        : hooks(kernelHooks)
        , options(std::move(serverOptions))
        , idleTimeout(toTimeval(options.idleTimeout))
    {
    }

    ~implementation();

    static evhtp_res accepting(evhtp_connection_t* handle, void* argument);
    static evhtp_res accepted(evhtp_connection_t* handle, void* argument);
    static evhtp_res headerRead(evhtp_request_t* request, evhtp_header_t* field, void* argument);
    static evhtp_res bodyRead(evhtp_request_t* request, evbuffer* bytes, void* argument);
    static evhtp_res requestEnded(evhtp_request_t* request, void* argument);
    static evhtp_res connectionEnded(evhtp_connection_t* handle, void* argument);
    static void requestRead(evhtp_request_t* request, void* argument);

    void dispatch(caller_connection& connection, evhtp_request_t* request);
    void abandon(caller_connection& connection);
    void refuseUnparsed(const caller_connection& connection) const;
    void write(evhtp_request_t* request, const http_answer& answer) const;
    const http_route* routeOf(std::string_view path) const;

    kernel_hooks hooks;
    http_server_options options;
    timeval idleTimeout;
    evhtp_t* server = nullptr;
    network_address address;
    bool listening = false;
    bool closing = false;
    /** Called once when the last connection has ended. */
    std::function<void()> onEmpty;
    std::vector<std::unique_ptr<http_route>> routes;
    absl::flat_hash_set<caller_connection*> connections;
    absl::flat_hash_map<exchange_id, caller_connection*> waiting;
    std::uint64_t lastExchange = 0;
};

http_server::implementation::~implementation()
{
    const std::vector<caller_connection*> open(connections.begin(), connections.end());
    for (caller_connection* connection : open)
        evhtp_connection_free(connection->handle);
    if (server == nullptr)
        return;
    if (listening)
        evhtp_unbind_socket(server);
    evhtp_free(server);
}

evhtp_res http_server::implementation::accepting(evhtp_connection_t*, void* argument)
{
    const auto* self = static_cast<implementation*>(argument);
    return self->connections.size() < self->options.maximumConnections ? EVHTP_RES_OK : EVHTP_RES_ERROR;
}

evhtp_res http_server::implementation::accepted(evhtp_connection_t* handle, void* argument)
{
    auto* self = static_cast<implementation*>(argument);
    auto* connection = new caller_connection;
    connection->owner = self;
    connection->handle = handle;
    self->connections.insert(connection);
    evhtp_connection_set_hook(handle, evhtp_hook_on_header, asHook(headerRead), connection);
    evhtp_connection_set_hook(handle, evhtp_hook_on_read, asHook(bodyRead), connection);
    evhtp_connection_set_hook(handle, evhtp_hook_on_request_fini, asHook(requestEnded), connection);
    evhtp_connection_set_hook(handle, evhtp_hook_on_connection_fini, asHook(connectionEnded), connection);
    bufferevent_setwatermark(handle->bev, EV_READ, 0, pipelinedBytes);
    return EVHTP_RES_OK;
}

evhtp_res http_server::implementation::headerRead(evhtp_request_t*, evhtp_header_t* field, void* argument)
{
    auto& connection = *static_cast<caller_connection*>(argument);
    connection.headerBytes += field->klen + field->vlen + headerLineOverhead;
    const std::uint64_t limit = connection.owner->options.limits.maximumHeaders.value();
    if (connection.headerBytes > limit)
        connection.problem = http_problem::HeadersTooLarge;
    if (hasByte(field->val, field->vlen, '\0'))
        connection.problem = http_problem::Malformed;
    // A body that is delimited twice could be read differently by the next hop.
    const bool length = http_fields::sameName(fieldName(*field), http_fields::contentLength);
    const bool encoding = http_fields::sameName(fieldName(*field), http_fields::transferEncoding);
    if ((length || encoding) && (connection.hasLength || connection.hasEncoding))
        connection.problem = http_problem::Malformed;
    connection.hasLength = connection.hasLength || length;
    connection.hasEncoding = connection.hasEncoding || encoding;
    return connection.headerBytes > limit * discardFactor ? EVHTP_RES_ERROR : EVHTP_RES_OK;
}

evhtp_res http_server::implementation::bodyRead(evhtp_request_t* request, evbuffer* bytes, void* argument)
{
    auto& connection = *static_cast<caller_connection*>(argument);
    connection.bodyBytes += evbuffer_get_length(bytes);
    const std::uint64_t limit = connection.owner->options.limits.maximumBody.value();
    if (connection.bodyBytes <= limit && connection.problem == http_problem::None)
        return EVHTP_RES_OK;
    if (connection.problem == http_problem::None)
        connection.problem = http_problem::BodyTooLarge;
    evbuffer_drain(bytes, evbuffer_get_length(bytes));
    evbuffer_drain(request->buffer_in, evbuffer_get_length(request->buffer_in));
    return connection.bodyBytes > limit * discardFactor ? EVHTP_RES_ERROR : EVHTP_RES_OK;
}

void http_server::implementation::requestRead(evhtp_request_t* request, void* argument)
{
    auto* self = static_cast<implementation*>(argument);
    const evhtp_hooks_t* hooks = request->conn->hooks;
    auto& connection = *static_cast<caller_connection*>(hooks->on_request_fini_arg);
    if (request->method == htp_method_UNKNOWN && connection.problem == http_problem::None)
        connection.problem = http_problem::UnsupportedMethod;
    if (connection.problem == http_problem::None) {
        self->dispatch(connection, request);
        return;
    }
    endConnectionAfter(request);
    self->write(request, encodeProblem(connection.problem));
}

void http_server::implementation::dispatch(caller_connection& connection, evhtp_request_t* request)
{
    const http_request_view view(request);
    const http_route* route = routeOf(view.path());
    if (route == nullptr) {
        write(request, encodeProblem(http_problem::UnknownPath));
        return;
    }
    connection.request = request;
    connection.route = route;
    connection.exchange = exchange_id(++lastExchange);
    const exchange_id exchange = connection.exchange;
    waiting.emplace(exchange, &connection);
    route->onRequest(exchange, view);
    if (!waiting.contains(exchange))
        return;
    bufferevent_setwatermark(connection.handle->bev, EV_READ, parseNothing, pipelinedBytes);
    bufferevent_set_timeouts(connection.handle->bev, nullptr, &idleTimeout);
}

evhtp_res http_server::implementation::requestEnded(evhtp_request_t* request, void* argument)
{
    auto& connection = *static_cast<caller_connection*>(argument);
    connection.owner->abandon(connection);
    connection.reset();
    bufferevent* channel = request->conn->bev;
    bufferevent_setwatermark(channel, EV_READ, 0, pipelinedBytes);
    bufferevent_set_timeouts(channel, &connection.owner->idleTimeout, &connection.owner->idleTimeout);
    // The library parses what was pipelined only when more arrives, so it is told to look.
    if (evbuffer_get_length(bufferevent_get_input(channel)) > 0)
        bufferevent_trigger(channel, EV_READ, BEV_OPT_DEFER_CALLBACKS);
    return EVHTP_RES_OK;
}

evhtp_res http_server::implementation::connectionEnded(evhtp_connection_t* handle, void* argument)
{
    auto* connection = static_cast<caller_connection*>(argument);
    connection->owner->refuseUnparsed(*connection);
    connection->owner->abandon(*connection);
    implementation* self = connection->owner;
    self->connections.erase(connection);
    evhtp_connection_unset_hook(handle, evhtp_hook_on_request_fini);
    delete connection;
    if (self->connections.empty() && self->onEmpty)
        self->hooks.schedule(duration::zero(), std::exchange(self->onEmpty, nullptr));
    return EVHTP_RES_OK;
}

void http_server::implementation::abandon(caller_connection& connection)
{
    if (waiting.erase(connection.exchange) == 0)
        return;
    if (connection.route->onGone)
        connection.route->onGone(connection.exchange);
}

void http_server::implementation::refuseUnparsed(const caller_connection& connection) const
{
    const htpparse_error error = htparser_get_error(connection.handle->parser);
    const bool unsentAnswer = evbuffer_get_length(bufferevent_get_output(connection.handle->bev)) > 0;
    if (error == htparse_error_none || unsentAnswer || connection.request != nullptr)
        return;
    http_problem problem = connection.problem;
    if (problem == http_problem::None)
        problem = error == htparse_error_too_big ? http_problem::HeadersTooLarge : http_problem::Malformed;
    const http_answer answer = encodeProblem(problem);
    const std::string bytes = answer.head + "Connection: close\r\n\r\n" + answer.body;
    // The library closes the connection after this call, so the bytes go to the socket directly.
    (void)send(bufferevent_getfd(connection.handle->bev), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
}

void http_server::implementation::write(evhtp_request_t* request, const http_answer& answer) const
{
    if (closing)
        endConnectionAfter(request);
    std::string_view headEnd = "\r\n";
    if ((request->flags & EVHTP_REQ_FLAG_KEEPALIVE) == 0)
        headEnd = "Connection: close\r\n\r\n";
    else if (request->proto == EVHTP_PROTO_10)
        headEnd = "Connection: keep-alive\r\n\r\n";
    sendOrKeep(request->conn->bev, { answer.head, headEnd, answer.body });
    evhtp_send_reply_end(request);
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
    auto parts = std::make_unique<implementation>(hooks, std::move(options));
    parts->server = evhtp_new(base, nullptr);
    internal_assert(parts->server != nullptr) << "no memory for the HTTP server";
    evhtp_set_pre_accept_cb(parts->server, implementation::accepting, parts.get());
    evhtp_set_post_accept_cb(parts->server, implementation::accepted, parts.get());
    evhtp_set_gencb(parts->server, implementation::requestRead, parts.get());
    evhtp_set_timeouts(parts->server, &parts->idleTimeout, &parts->idleTimeout);
    evhtp_enable_flag(parts->server, EVHTP_FLAG_ENABLE_NODELAY);
    errno = 0;
    if (evhtp_bind_socket(parts->server, address.host.c_str(), address.port, listenBacklog) != 0)
        return absl::UnavailableError(
            absl::StrCat("can't listen for callers on ", formatAddress(address), ": ", std::strerror(errno)));
    parts->listening = true;
    parts->address = { address.host, portOf(parts->server) };
    return std::unique_ptr<http_server>(new http_server(std::move(parts)));
}

void http_server::addRoute(http_route route)
{
    auto& routes = m_parts->routes;
    const auto shorter = std::find_if(
        routes.begin(), routes.end(), [&](const auto& other) { return other->prefix.size() < route.prefix.size(); });
    routes.insert(shorter, std::make_unique<http_route>(std::move(route)));
}

void http_server::respond(exchange_id exchange, const http_answer& answer)
{
    const auto found = m_parts->waiting.find(exchange);
    if (found == m_parts->waiting.end())
        return;
    evhtp_request_t* request = found->second->request;
    m_parts->waiting.erase(found);
    m_parts->write(request, answer);
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
    const std::vector<implementation::caller_connection*> open(
        m_parts->connections.begin(), m_parts->connections.end());
    for (const auto* connection : open) {
        if (connection->request == nullptr)
            evhtp_connection_free(connection->handle);
    }
}

void http_server::stopListening()
{
    if (m_parts->listening)
        evhtp_unbind_socket(m_parts->server);
    m_parts->listening = false;
    const std::vector<implementation::caller_connection*> open(
        m_parts->connections.begin(), m_parts->connections.end());
    for (const auto* connection : open) {
        if (connection->handle->request == nullptr)
            evhtp_connection_free(connection->handle);
    }
}

network_address http_server::address() const { return m_parts->address; }

std::size_t http_server::inFlight() const { return m_parts->waiting.size(); }

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
