#include "runtime/tcp_listener.h"

#include <cerrno>
#include <cstring>
#include <utility>

#include <arpa/inet.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "absl/strings/str_cat.h"
#include "runtime/sockets.h"

namespace plantainlatch {

namespace {

    constexpr int backlog = 1024;
    constexpr duration acceptPause = std::chrono::milliseconds(100);

    std::uint16_t portOf(evconnlistener* listener)
    {
        sockaddr_in local {};
        socklen_t size = sizeof(local);
        getsockname(evconnlistener_get_fd(listener), reinterpret_cast<sockaddr*>(&local), &size);
        return ntohs(local.sin_port);
    }

} // namespace

struct tcp_listener::implementation {
    kernel_hooks hooks;
    tcp_listener_events events;
    evconnlistener* listener = nullptr;
    network_address address;
    timer_id resumeTimer;

    implementation(kernel_hooks kernelHooks, tcp_listener_events listenerEvents)
        : hooks(std::move(kernelHooks))
        , events(std::move(listenerEvents))
    {
    }

    ~implementation()
    {
        hooks.cancel(resumeTimer);
        if (listener != nullptr)
            evconnlistener_free(listener);
    }

    static void accepted(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* argument)
    {
        static_cast<implementation*>(argument)->events.onAccept(socket);
    }

    /** Without a pause, the socket would stay readable and the event loop would spin. */
    static void failed(evconnlistener*, void* argument) { static_cast<implementation*>(argument)->pause(errno); }

    void pause(int error)
    {
        evconnlistener_disable(listener);
        resumeTimer = hooks.schedule(acceptPause, [this] { evconnlistener_enable(listener); });
        if (events.onPause)
            events.onPause(error);
    }
};

tcp_listener::tcp_listener(std::unique_ptr<implementation> parts)
    : m_parts(std::move(parts))
{
}

tcp_listener::~tcp_listener() = default;

absl::StatusOr<std::unique_ptr<tcp_listener>> tcp_listener::create(
    event_base* base, const kernel_hooks& hooks, const network_address& address, tcp_listener_events events)
{
    auto parts = std::make_unique<implementation>(hooks, std::move(events));
    const sockaddr_in local = toSocketAddress(address);
    const unsigned flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC;
    errno = 0;
    parts->listener = evconnlistener_new_bind(base, implementation::accepted, parts.get(), flags, backlog,
        reinterpret_cast<const sockaddr*>(&local), sizeof(local));
    if (parts->listener == nullptr) {
        const int error = errno;
        const std::string text = absl::StrCat("can't listen on ", formatAddress(address), ": ", std::strerror(error));
        return error == EADDRINUSE ? absl::AlreadyExistsError(text) : absl::UnavailableError(text);
    }
    evconnlistener_set_error_cb(parts->listener, implementation::failed);
    parts->address = { address.host, portOf(parts->listener) };
    return std::unique_ptr<tcp_listener>(new tcp_listener(std::move(parts)));
}

void tcp_listener::acceptPending()
{
    const int listening = evconnlistener_get_fd(m_parts->listener);
    int socket = accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    while (socket >= 0) {
        m_parts->events.onAccept(socket);
        socket = accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    }
}

network_address tcp_listener::address() const { return m_parts->address; }

} // namespace plantainlatch
