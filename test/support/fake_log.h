#pragma once

/** \file
 * An in-memory replacement of the replicated log: it orders the proposals, and each VM applies them after its own lag.
 */

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "model/control_snapshot.h"
#include "ports/consensus_port.h"
#include "ports/control_port.h"
#include "support/paused_runtime.h"

namespace plantainlatch {

/** How the log treats one proposal. */
struct proposal_behaviour {
    /** The time from the proposal until it is committed. */
    duration delay = std::chrono::milliseconds(2);
    /** Whether the proposal is committed. */
    bool committed = true;
    /** Whether the proposer gets the result; otherwise it gets DeadlineExceeded. */
    bool answered = true;
    /** The log refuses the proposal without applying it, as it does when the proposal is too old to detect duplicates.
     */
    bool refused = false;
};

class fake_log;

/** One VM's replica of the state, with the ports that its services use. */
class fake_log_member {
public:
    fake_log_member(fake_log& log, const vm_id& vm, incarnation start);
    fake_log_member(const fake_log_member&) = delete;
    fake_log_member& operator=(const fake_log_member&) = delete;

    consensus_port consensus;
    control_port control;
    /** Decides how the log treats each proposal of this VM. */
    std::function<proposal_behaviour(const control_command&)> behaviour
        = [](const control_command&) { return proposal_behaviour(); };
    /** Whether this VM has leader contact. */
    bool isCurrent = true;
    /** The time from the commit of an entry until this VM applies it. */
    duration applyLag {};

private:
    friend class fake_log;

    proposal_id propose(
        control_command command, duration timeout, std::function<void(absl::StatusOr<command_result>)> done);

    fake_log& m_log;
    proposal_id m_last;
    control_snapshot m_state;
    std::vector<std::function<void()>> m_listeners;
};

/** The log that all members share; it must outlive them. */
class fake_log {
public:
    explicit fake_log(paused_runtime& runtime)
        : m_runtime(runtime)
    {
    }

    /** The state after the last entry. */
    control_snapshot state;

private:
    friend class fake_log_member;

    command_result append(const proposal& item);

    paused_runtime& m_runtime;
    std::set<fake_log_member*> m_members;
};

} // namespace plantainlatch
