#pragma once

/** \file
 * A TCP client for tests of servers; it sends arbitrary bytes.
 */

#include <functional>
#include <string>

#include "model/address.h"

struct event_base;
struct bufferevent;

namespace plantainlatch {

/** Connects in its constructor and collects the bytes that it receives. */
class raw_client {
public:
    raw_client(event_base* base, const network_address& address);
    ~raw_client();
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;

    void send(const std::string& bytes);
    void close();

    /** Called after bytes were received; it doesn't destroy the client. */
    std::function<void()> onBytes;
    std::string received;
    /** Whether the server has closed or reset the connection. */
    bool ended = false;

private:
    bufferevent* m_handle;
};

} // namespace plantainlatch
