#pragma once

/** \file
 * A listening loopback socket whose accept queue is full, so that further connections can't be established for now.
 */

#include <string>

#include "core/clock.h"
#include "model/address.h"

namespace plantainlatch {

/** Attempts to connect stay pending until makeRoom() is called. All functions block the calling thread. */
class full_listener {
public:
    full_listener();
    ~full_listener();
    full_listener(const full_listener&) = delete;
    full_listener& operator=(const full_listener&) = delete;

    network_address address() const { return m_address; }
    /** Accepts the connection that fills the queue. */
    void makeRoom();
    /** Waits for the next connection; false if there is none within `span`. */
    bool acceptWithin(duration span);
    /** The bytes that have arrived on the accepted connection. */
    std::string received() const;

private:
    int m_listener = -1;
    int m_filler = -1;
    int m_fillerAccepted = -1;
    int m_accepted = -1;
    network_address m_address;
};

} // namespace plantainlatch
