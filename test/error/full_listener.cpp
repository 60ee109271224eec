#include "error/full_listener.h"

#include <array>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/internal_assert.h"

namespace plantainlatch {

full_listener::full_listener()
    : m_listener(socket(AF_INET, SOCK_STREAM, 0))
    , m_filler(socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in local {};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(local);
    auto* address = reinterpret_cast<sockaddr*>(&local);
    // With a backlog of 0 the queue holds one connection.
    const bool ready = bind(m_listener, address, size) == 0 && listen(m_listener, 0) == 0
        && getsockname(m_listener, address, &size) == 0 && connect(m_filler, address, size) == 0;
    internal_assert(ready) << "can't create a listening socket with a full accept queue";
    m_address = { "127.0.0.1", ntohs(local.sin_port) };
}

full_listener::~full_listener()
{
    for (const int descriptor : { m_listener, m_filler, m_fillerAccepted, m_accepted }) {
        if (descriptor >= 0)
            close(descriptor);
    }
}

void full_listener::makeRoom() { m_fillerAccepted = accept(m_listener, nullptr, nullptr); }

bool full_listener::acceptWithin(duration span)
{
    pollfd waiting { m_listener, POLLIN, 0 };
    const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(span);
    if (poll(&waiting, 1, static_cast<int>(limit.count())) <= 0)
        return false;
    m_accepted = accept(m_listener, nullptr, nullptr);
    return m_accepted >= 0;
}

std::string full_listener::received() const
{
    std::array<char, 4096> bytes {};
    const ssize_t size = recv(m_accepted, bytes.data(), bytes.size(), MSG_DONTWAIT);
    return size > 0 ? std::string(bytes.data(), static_cast<std::size_t>(size)) : std::string();
}

} // namespace plantainlatch
