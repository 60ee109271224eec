#pragma once

/** \file
 * The service that dispatches messages from other VMs to the services that subscribed to their type.
 */

#include <functional>
#include <memory>
#include <vector>

#include "kernel/service.h"
#include "ports/peer_port.h"

namespace plantainlatch {

/** Sends messages to other VMs and dispatches received ones by type; published as "peer_router". */
class peer_router {
public:
    using consensus_handler = std::function<void(const vm_id& from, consensus_message)>;
    using slot_handler = std::function<void(const vm_id& from, slot_message)>;
    using control_handler = std::function<void(const vm_id& from, control_message)>;

    static std::unique_ptr<peer_router> create();

    /** The kernel service; it depends on "peers". The router must outlive the kernel. */
    service asService();

    /** Sends a message to another VM, without a delivery guarantee. */
    void send(const vm_id& to, peer_message message);

    void subscribeConsensus(consensus_handler handler) { m_consensus.push_back(std::move(handler)); }
    void subscribeSlots(slot_handler handler) { m_slots.push_back(std::move(handler)); }
    void subscribeControl(control_handler handler) { m_control.push_back(std::move(handler)); }

private:
    void deliver(const vm_id& from, const peer_message& message);

    peer_port* m_peers = nullptr;
    std::vector<consensus_handler> m_consensus;
    std::vector<slot_handler> m_slots;
    std::vector<control_handler> m_control;
};

} // namespace plantainlatch
