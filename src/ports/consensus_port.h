#pragma once

/** \file
 * The hooks by which the other decisions use the replicated log.
 */

#include <functional>
#include <vector>

#include "absl/status/statusor.h"
#include "core/clock.h"
#include "core/ids.h"
#include "model/consensus_message.h"

namespace plantainlatch {

/** What this VM knows of the log's leadership. */
struct leadership {
    vm_id leader;
    log_term term;
    /** This VM is the leader, and its lease holds: no other leader can have been elected yet. */
    bool leading = false;
    /** This VM has heard from the leader, or from a majority if it leads, within the lease. */
    bool current = false;
};

/** The replicated log as the other decisions use it, on any VM. */
struct consensus_port {
    /** Calls back with the result of applying the command. DeadlineExceeded: it may or may not be applied later.
     * Unavailable: it never will be. The id names the proposal. */
    std::function<proposal_id(control_command, duration timeout, std::function<void(absl::StatusOr<command_result>)>)>
        propose;
    /** Calls back with OK once this VM has applied all that any VM accepted before the call; DeadlineExceeded or
     * Unavailable when that can't be told in time. */
    std::function<void(duration timeout, std::function<void(absl::Status)>)> readBarrier;
    std::function<leadership()> state;
    /** Adds a listener to changes of leadership(). */
    std::function<void(std::function<void(const leadership&)>)> onLeadership;
    /** Hands leadership to another replica before a stop; calls back when done or after the timeout. */
    std::function<void(duration timeout, std::function<void()>)> transferLeadership;
    std::function<log_index()> applied;
    std::function<voter_set()> voters;
    /** Replaces the VMs that this one asks for the log when no leader sends it. */
    std::function<void(std::vector<vm_id>)> setSeeds;
    /** The applied index that each other VM last told the leader; empty elsewhere. */
    std::function<std::vector<std::pair<vm_id, log_index>>()> followerAppliedIndices;
};

} // namespace plantainlatch
