#pragma once

/** \file
 * The interface for messages between VMs.
 */

#include <functional>

#include "core/ids.h"
#include "model/peer_message.h"

namespace plantainlatch {

/** Sends and receives messages between VMs. Senders are authenticated. Messages may be lost, delayed, duplicated or
 * reordered. */
struct peer_port {
    std::function<void(const vm_id& to, peer_message)> send;
    /** Sets the only receiver of incoming messages. */
    std::function<void(std::function<void(const vm_id& from, peer_message)>)> setReceiver;
};

} // namespace plantainlatch
