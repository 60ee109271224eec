#pragma once

/** \file
 * A replicated log in memory: one order of proposals, applied at each VM after that VM's own lag.
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

/** What becomes of one proposal. */
struct proposal_behaviour {
    /** From the proposal to its place in the log. */
    duration delay = std::chrono::milliseconds(2);
    /** It gets a place in the log. */
    bool agreed = true;
    /** The proposer hears of it; otherwise it gets DeadlineExceeded. */
    bool answered = true;
    /** The log refuses the proposal itself, as one too old to know. */
    bool refused = false;
};

class fake_log;

/** One VM's view of the log; give its ports to services. */
class fake_log_member {
public:
    fake_log_member(fake_log& log, const vm_id& vm, incarnation start);
    fake_log_member(const fake_log_member&) = delete;
    fake_log_member& operator=(const fake_log_member&) = delete;

    consensus_port consensus;
    control_port control;
    /** Decides the fate of this VM's proposals. */
    std::function<proposal_behaviour(const control_command&)> behaviour
        = [](const control_command&) { return proposal_behaviour(); };
    /** Whether this VM has heard from the leader lately. */
    bool isCurrent = true;
    /** From the place in the log to this VM's state. */
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

/** The log that all members share; it outlives them. */
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
