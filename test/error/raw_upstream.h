#pragma once

/** \file
 * A little upstream on a loopback socket that sends exactly the bytes a test wants.
 */

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "model/address.h"

struct event_base;
struct evconnlistener;
struct bufferevent;

namespace plantainlatch {

/** Accepts connections and hands each whole request head (with any body that came along) to a hook. */
class raw_upstream {
public:
    explicit raw_upstream(event_base* base);
    ~raw_upstream();
    raw_upstream(const raw_upstream&) = delete;
    raw_upstream& operator=(const raw_upstream&) = delete;

    network_address address() const { return m_address; }

    /** Answers a request: `connection` counts from 0 in the order of acceptance. */
    std::function<void(std::size_t connection, const std::string& request)> onRequest;

    void send(std::size_t connection, const std::string& bytes);
    /** Closes once all bytes are sent. */
    void close(std::size_t connection);
    /** Takes no further connections; the port is free then. */
    void stopListening();

    std::vector<std::string> requests;
    std::size_t accepted = 0;
    /** Connections that the other end closed. */
    std::size_t closedByPeer = 0;

private:
    struct channel {
        raw_upstream* owner = nullptr;
        std::size_t number = 0;
        bufferevent* handle = nullptr;
        bool closing = false;
    };

    void accept(int socket);
    void readable(channel& from);
    void closeNow(channel& from);

    event_base* m_base;
    evconnlistener* m_listener = nullptr;
    network_address m_address;
    std::vector<std::unique_ptr<channel>> m_channels;
};

} // namespace plantainlatch
