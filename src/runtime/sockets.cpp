#include "runtime/sockets.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
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

void disableNagle(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace plantainlatch
