#pragma once

/** \file
 * The interface of the consensus service, through which other services use the replicated log.
 */

#include <functional>
#include <vector>

#include "absl/status/statusor.h"
#include "core/clock.h"
#include "core/ids.h"
#include "model/consensus_message.h"

namespace plantainlatch {

/** What this VM knows about the leader of the log. */
struct leadership {
    vm_id leader;
    log_term term;
    /** This VM is the leader and its lease is valid, so no other leader can have been elected. It has also applied
     * everything that earlier leaders committed. */
    bool leading = false;
    /** This VM is the leader with a valid lease; or it had contact with the leader within the lease time and has
     * applied everything that the leader reported as committed at that time. */
    bool current = false;
};

/** The replicated log; available on every VM, whether it is a replica or a learner. */
struct consensus_port {
    /** Proposes a command and calls back with the result of applying it; returns the id of the proposal.
     * DeadlineExceeded: the command may still be applied later. Unavailable: it will never be applied. */
    std::function<proposal_id(control_command, duration timeout, std::function<void(absl::StatusOr<command_result>)>)>
        propose;
    /** A linearizable read barrier: calls back with OK once this VM has applied every command that was committed before
     * the call. DeadlineExceeded or Unavailable when that was not confirmed in time. */
    std::function<void(duration timeout, std::function<void(absl::Status)>)> readBarrier;
    std::function<leadership()> state;
    /** Adds a listener for changes of state(). */
    std::function<void(std::function<void(const leadership&)>)> onLeadership;
    /** Transfers leadership to another voter, before a stop; calls back when another VM leads or after the timeout.
     * Calls back at once if this VM does not lead or is the only voter. */
    std::function<void(duration timeout, std::function<void()>)> transferLeadership;
    /** The index of the last entry that was applied on this VM. */
    std::function<log_index()> applied;
    std::function<voter_set()> voters;
    /** Sets the VMs that this one contacts, besides the voters that it knows, to find the log when it has no leader. */
    std::function<void(std::vector<vm_id>)> setSeeds;
    /** On the leader, the applied index that each follower last reported; empty on other VMs. */
    std::function<std::vector<std::pair<vm_id, log_index>>()> followerAppliedIndices;
};

} // namespace plantainlatch
