#pragma once

/** \file
 * A TCP server on a loopback port that stands in for an upstream; it sends arbitrary bytes.
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

/** Accepts connections and passes each request to a hook once its header is complete, with any part of the body that
 * has arrived by then. */
class raw_upstream {
public:
    explicit raw_upstream(event_base* base);
    ~raw_upstream();
    raw_upstream(const raw_upstream&) = delete;
    raw_upstream& operator=(const raw_upstream&) = delete;

    network_address address() const { return m_address; }

    /** Called for each request; connections are numbered from 0 in the order in which they were accepted. */
    std::function<void(std::size_t connection, const std::string& request)> onRequest;

    void send(std::size_t connection, const std::string& bytes);
    /** Closes the connection once all bytes are sent. */
    void close(std::size_t connection);
    /** Resets the connection once all bytes are passed to the operating system. */
    void reset(std::size_t connection);
    /** Stops accepting connections and frees the port. */
    void stopListening();

    std::vector<std::string> requests;
    std::size_t accepted = 0;
    /** The number of connections that the client closed or reset, and of those that it reset. */
    std::size_t closedByPeer = 0;
    std::size_t resetByPeer = 0;

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
