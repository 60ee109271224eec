#pragma once

/** \file
 * The service that runs the consensus protocol for the replicated log on one VM. The protocol is Raft with pre-votes,
 * leader leases, learners and changes of one voter at a time.
 */

#include <functional>
#include <memory>
#include <vector>

#include "absl/status/statusor.h"
#include "decision/consensus/consensus_options.h"
#include "decision/consensus/election.h"
#include "decision/consensus/log_follower.h"
#include "decision/consensus/log_joiner.h"
#include "decision/consensus/log_leader.h"
#include "decision/consensus/proposal_queue.h"
#include "decision/consensus/replica.h"
#include "kernel/service.h"
#include "ports/consensus_port.h"

namespace plantainlatch {

/** Publishes consensus_port as "consensus". It depends on "peer_router" and "control", and on a replica also on
 * "storage". */
class consensus_service {
public:
    /** Returns InvalidArgument if the settings do not list this VM, or list a VM twice. */
    static absl::StatusOr<std::unique_ptr<consensus_service>> create(
        const kernel_hooks& hooks, const vm_settings& settings, consensus_options options = {});
    ~consensus_service();
    consensus_service(const consensus_service&) = delete;
    consensus_service& operator=(const consensus_service&) = delete;

    /** The kernel service; this object must outlive the kernel. */
    service asService();

private:
    consensus_service(const kernel_hooks& hooks, const vm_settings& settings, consensus_options options);

    absl::Status start(registry& services);
    void stop(std::function<void()> stopped);
    state_dump dump() const;
    consensus_port makePort();

    void receive(const vm_id& from, const consensus_message& message);
    void receiveAppend(const vm_id& from, const append_request& request);
    void onTick();
    void onApplied(const proposal& item, const command_result& result);
    void updateLeadership();
    leadership currentLeadership() const;
    void transferLeadership(duration timeout, std::function<void()> done);
    void finishTransfer();

    kernel_hooks m_hooks;
    replica m_replica;
    log_leader m_leader;
    log_follower m_follower;
    election m_election;
    proposal_queue m_proposals;
    log_joiner m_joiner;
    consensus_port m_port;
    timer_id m_tick;
    leadership m_lastLeadership;
    std::vector<std::function<void(const leadership&)>> m_listeners;
    std::function<void()> m_transferDone;
    time_point m_transferEnd {};
};

} // namespace plantainlatch
