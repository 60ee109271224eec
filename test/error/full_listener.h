#pragma once

/** \file
 * A listening loopback socket whose queue is full, so that the next connection is made only once there is room.
 */

#include <string>

#include "core/clock.h"
#include "model/address.h"

namespace plantainlatch {

/** Leaves new connections unanswered until makeRoom(); everything blocks the calling thread. */
class full_listener {
public:
    full_listener();
    ~full_listener();
    full_listener(const full_listener&) = delete;
    full_listener& operator=(const full_listener&) = delete;

    network_address address() const { return m_address; }
    void makeRoom();
    /** Waits for the next connection; false when none came in time. */
    bool acceptWithin(duration span);
    /** What has arrived on the accepted connection. */
    std::string received() const;

private:
    int m_listener = -1;
    int m_filler = -1;
    int m_fillerAccepted = -1;
    int m_accepted = -1;
    network_address m_address;
};

} // namespace plantainlatch
