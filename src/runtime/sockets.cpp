#include "runtime/sockets.h"

#include <cerrno>
#include <limits>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>

namespace plantainlatch {

sockaddr_in toSocketAddress(const network_address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

socket_input peekInput(int socket)
{
    char byte = 0;
    const ssize_t result = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (result > 0)
        return socket_input::Bytes;
    const bool isWaiting = result < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return isWaiting ? socket_input::None : socket_input::End;
}

std::uint32_t remoteHost(int socket)
{
    sockaddr_in peer {};
    socklen_t size = sizeof(peer);
    const bool isKnown = getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &size) == 0;
    return isKnown && peer.sin_family == AF_INET ? ntohl(peer.sin_addr.s_addr) : 0;
}

std::size_t maximumDescriptors()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return std::numeric_limits<std::size_t>::max();
    return limit.rlim_cur;
}

void limitUnread(int socket, std::size_t bytes)
{
    // A fast sender fills a fixed receive buffer to its full size, so many of them can hold more than automatic ones.
    // The clamp only limits how far the automatic one grows.
    const int size = static_cast<int>(bytes);
    setsockopt(socket, IPPROTO_TCP, TCP_WINDOW_CLAMP, &size, sizeof(size));
}

void disableNagle(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void setResetOnClose(int socket, bool resets)
{
    const linger option { resets ? 1 : 0, 0 };
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

void resetConnection(int socket)
{
    // Linux resets a TCP connection whose socket is dissociated from its peer. A socket that has no connection any more
    // has nothing to reset.
    sockaddr none {};
    none.sa_family = AF_UNSPEC;
    static_cast<void>(connect(socket, &none, sizeof(none)));
}

} // namespace plantainlatch
