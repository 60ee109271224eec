#include "error/raw_client.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>

namespace plantainlatch {

raw_client::raw_client(event_base* base, const network_address& address)
    : m_handle(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE))
{
    bufferevent_setcb(
        m_handle,
        [](bufferevent* handle, void* self) {
            evbuffer* input = bufferevent_get_input(handle);
            std::string bytes(evbuffer_get_length(input), '\0');
            evbuffer_remove(input, bytes.data(), bytes.size());
            auto* client = static_cast<raw_client*>(self);
            client->received += bytes;
            if (client->onBytes)
                client->onBytes();
        },
        nullptr,
        [](bufferevent*, short events, void* self) {
            if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
                static_cast<raw_client*>(self)->ended = true;
        },
        this);
    bufferevent_enable(m_handle, EV_READ | EV_WRITE);
    sockaddr_in remote {};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &remote.sin_addr);
    bufferevent_socket_connect(m_handle, reinterpret_cast<sockaddr*>(&remote), sizeof(remote));
}

raw_client::~raw_client() { close(); }

void raw_client::send(const std::string& bytes) { bufferevent_write(m_handle, bytes.data(), bytes.size()); }

void raw_client::close()
{
    if (m_handle != nullptr)
        bufferevent_free(m_handle);
    m_handle = nullptr;
}

} // namespace plantainlatch
