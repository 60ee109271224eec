#pragma once

/** \file
 * A caller on a loopback socket that sends exactly the bytes a test wants.
 */

#include <string>

#include "model/address.h"

struct event_base;
struct bufferevent;

namespace plantainlatch {

/** Connects at once and collects what it receives. */
class raw_client {
public:
    raw_client(event_base* base, const network_address& address);
    ~raw_client();
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;

    void send(const std::string& bytes);
    void close();

    std::string received;
    /** The other end closed. */
    bool ended = false;

private:
    bufferevent* m_handle;
};

} // namespace plantainlatch
