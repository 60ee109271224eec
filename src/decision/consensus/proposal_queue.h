#pragma once

/** \file
 * The proposals of this VM on their way to the leader and back.
 */

#include <functional>
#include <map>

#include "absl/status/statusor.h"
#include "decision/consensus/log_leader.h"
#include "decision/consensus/replica.h"

namespace plantainlatch {

/** Sends proposals to the leader, again to a new one, and answers each once. */
class proposal_queue {
public:
    using result_callback = std::function<void(absl::StatusOr<command_result>)>;

    /** `start` tells this start of the VM from others, so that its numbers are new. */
    proposal_queue(replica& self, log_leader& leader, incarnation start);
    ~proposal_queue();
    proposal_queue(const proposal_queue&) = delete;
    proposal_queue& operator=(const proposal_queue&) = delete;

    /** See consensus_port::propose. */
    proposal_id propose(control_command command, duration timeout, result_callback callback);

    /** See consensus_port::readBarrier. */
    void readBarrier(duration timeout, std::function<void(absl::Status)> callback);

    /** Ends what is overdue and sends again what was not answered. */
    void onTick();
    /** The leader is known, or another one. */
    void onLeader();
    /** A proposal was applied here, or the leader gave its result. */
    void onResult(const proposal_id& id, const command_result& result);
    /** At the leader: another VM's proposal. */
    void onRequest(const vm_id& from, const propose_request& request);
    void onAnswer(const propose_answer& answer);

    std::size_t size() const { return m_pending.size(); }

private:
    struct pending_proposal {
        control_command command;
        result_callback callback;
        time_point deadline;
        /** The leader's word is not enough: it must be applied here. */
        bool untilAppliedHere = false;
        /** It may have reached a log. */
        bool sent = false;
        time_point sentAt {};
    };

    proposal_id idOf(std::uint64_t sequence) const { return { m_replica.vm(), m_start, sequence }; }
    void trySend(std::uint64_t sequence, pending_proposal& item);
    void finish(std::uint64_t sequence, absl::StatusOr<command_result> result);
    proposal_id add(pending_proposal item);
    void refuseSoon(result_callback callback);

    replica& m_replica;
    log_leader& m_leader;
    incarnation m_start;
    std::uint64_t m_lastSequence = 0;
    std::map<std::uint64_t, pending_proposal> m_pending;
    std::map<std::uint64_t, timer_id> m_refusals;
};

} // namespace plantainlatch
