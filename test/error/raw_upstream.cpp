#include "error/raw_upstream.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace plantainlatch {

raw_upstream::raw_upstream(event_base* base)
    : m_base(base)
{
    sockaddr_in local {};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    m_listener = evconnlistener_new_bind(
        base,
        [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
            static_cast<raw_upstream*>(self)->accept(socket);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, reinterpret_cast<sockaddr*>(&local), sizeof(local));
    socklen_t size = sizeof(local);
    getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr*>(&local), &size);
    m_address = { "127.0.0.1", ntohs(local.sin_port) };
}

raw_upstream::~raw_upstream()
{
    stopListening();
    for (const auto& item : m_channels) {
        if (item->handle != nullptr)
            bufferevent_free(item->handle);
    }
}

void raw_upstream::stopListening()
{
    if (m_listener != nullptr)
        evconnlistener_free(m_listener);
    m_listener = nullptr;
}

void raw_upstream::accept(int socket)
{
    auto added = std::make_unique<channel>();
    added->owner = this;
    added->number = accepted++;
    added->handle = bufferevent_socket_new(m_base, socket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(
        added->handle,
        [](bufferevent*, void* item) {
            auto& from = *static_cast<channel*>(item);
            from.owner->readable(from);
        },
        [](bufferevent*, void* item) {
            auto& from = *static_cast<channel*>(item);
            if (from.closing)
                from.owner->closeNow(from);
        },
        [](bufferevent*, short events, void* item) {
            auto& from = *static_cast<channel*>(item);
            ++from.owner->closedByPeer;
            from.owner->resetByPeer += (events & BEV_EVENT_ERROR) != 0 && EVUTIL_SOCKET_ERROR() == ECONNRESET ? 1 : 0;
            from.owner->closeNow(from);
        },
        added.get());
    bufferevent_enable(added->handle, EV_READ | EV_WRITE);
    m_channels.push_back(std::move(added));
}

void raw_upstream::readable(channel& from)
{
    evbuffer* input = bufferevent_get_input(from.handle);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, bytes.data(), bytes.size());
    if (bytes.find("\r\n\r\n") == std::string::npos)
        return;
    evbuffer_drain(input, bytes.size());
    requests.push_back(bytes);
    if (onRequest)
        onRequest(from.number, bytes);
}

void raw_upstream::send(std::size_t connection, const std::string& bytes)
{
    bufferevent* handle = m_channels[connection]->handle;
    if (handle != nullptr)
        bufferevent_write(handle, bytes.data(), bytes.size());
}

void raw_upstream::close(std::size_t connection)
{
    channel& item = *m_channels[connection];
    item.closing = true;
    if (item.handle != nullptr && evbuffer_get_length(bufferevent_get_output(item.handle)) == 0)
        closeNow(item);
}

void raw_upstream::reset(std::size_t connection)
{
    bufferevent* handle = m_channels[connection]->handle;
    const linger immediately { 1, 0 };
    if (handle != nullptr)
        setsockopt(bufferevent_getfd(handle), SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
    close(connection);
}

void raw_upstream::closeNow(channel& from)
{
    if (from.handle != nullptr)
        bufferevent_free(from.handle);
    from.handle = nullptr;
}

} // namespace plantainlatch
