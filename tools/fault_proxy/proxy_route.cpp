#include "fault_proxy/proxy_route.h"

#include <utility>

#include <arpa/inet.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "absl/strings/str_cat.h"

namespace plantainlatch {

namespace {

    constexpr int listenBacklog = 1024;
    /** The maximum number of open connections; further ones are reset. */
    constexpr std::size_t maximumOpenConnections = 10'000;

    void resetSocket(int socket)
    {
        const linger resetOnCloseOption { 1, 0 };
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &resetOnCloseOption, sizeof resetOnCloseOption);
        evutil_closesocket(socket);
    }

} // namespace

absl::StatusOr<route_spec> parseRoute(const std::string& text)
{
    const std::size_t nameEnd = text.find('=');
    const std::size_t listenEnd = text.find('/');
    if (nameEnd == 0 || nameEnd == std::string::npos || listenEnd == std::string::npos || listenEnd < nameEnd)
        return absl::InvalidArgumentError(absl::StrCat("'", text, "' is not NAME=LISTEN/TARGET"));
    const auto listen = parseAddress(text.substr(nameEnd + 1, listenEnd - nameEnd - 1));
    const auto target = parseAddress(text.substr(listenEnd + 1));
    if (!listen.ok() || !target.ok())
        return listen.ok() ? target.status() : listen.status();
    return route_spec { text.substr(0, nameEnd), *listen, *target };
}

absl::StatusOr<std::unique_ptr<proxy_route>> proxy_route::create(
    event_base* base, const kernel_hooks& hooks, route_spec spec)
{
    std::unique_ptr<proxy_route> created(new proxy_route(base, hooks, std::move(spec)));
    if (absl::Status status = created->listen(); !status.ok())
        return status;
    return created;
}

proxy_route::proxy_route(event_base* base, const kernel_hooks& hooks, route_spec spec)
    : m_base(base)
    , m_hooks(hooks)
    , m_spec(std::move(spec))
{
}

proxy_route::~proxy_route()
{
    if (m_listener != nullptr)
        evconnlistener_free(m_listener);
}

absl::Status proxy_route::listen()
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_spec.listen.port);
    inet_pton(AF_INET, m_spec.listen.host.c_str(), &address.sin_addr);
    m_listener = evconnlistener_new_bind(
        m_base,
        [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* argument) {
            static_cast<proxy_route*>(argument)->accept(socket);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, listenBacklog,
        reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (m_listener == nullptr)
        return absl::UnavailableError(absl::StrCat("can't listen on ", formatAddress(m_spec.listen)));
    return absl::OkStatus();
}

void proxy_route::accept(int socket)
{
    if (m_faults.refuse || m_connections.size() >= maximumOpenConnections) {
        resetSocket(socket);
        return;
    }
    const std::uint64_t number = ++m_accepted;
    m_connections[number] = proxied_connection::create(
        m_base, m_hooks, socket, m_spec.target, m_faults, [this, number] { m_connections.erase(number); });
}

void proxy_route::setFaults(const fault_set& faults)
{
    m_faults = faults;
    for (const auto& [number, connection] : m_connections)
        connection->onFaultsChanged();
}

void proxy_route::cut()
{
    for (const auto& [number, connection] : m_connections)
        connection->cut();
}

void proxy_route::silenceOpen()
{
    for (const auto& [number, connection] : m_connections)
        connection->silence();
}

} // namespace plantainlatch
