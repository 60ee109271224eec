#pragma once

/** \file
 * Forwards the proposals of this VM to the leader and returns their results.
 */

#include <functional>
#include <map>

#include "absl/status/statusor.h"
#include "decision/consensus/log_leader.h"
#include "decision/consensus/replica.h"

namespace plantainlatch {

/** Sends proposals to the leader, resends them until they are answered or time out, and calls each callback once. */
class proposal_queue {
public:
    using result_callback = std::function<void(absl::StatusOr<command_result>)>;

    /** `start` identifies this start of the VM, so that proposal ids are not reused after a restart. */
    proposal_queue(replica& self, log_leader& leader, incarnation start);
    ~proposal_queue();
    proposal_queue(const proposal_queue&) = delete;
    proposal_queue& operator=(const proposal_queue&) = delete;

    /** See consensus_port::propose. */
    proposal_id propose(control_command command, duration timeout, result_callback callback);

    /** See consensus_port::readBarrier. */
    void readBarrier(duration timeout, std::function<void(absl::Status)> callback);

    /** Fails proposals whose deadline has passed, and resends unanswered ones. */
    void onTick();
    /** Sends pending proposals to a newly known leader. */
    void onLeaderChange();
    /** Finishes a proposal that was applied here or whose result the leader sent; others are ignored. */
    void onResult(const proposal_id& id, const command_result& result);
    /** Submits another VM's proposal to the log, or tells that VM who the leader is. */
    void onRequest(const vm_id& from, const propose_request& request);
    void onAnswer(const propose_answer& answer);

    std::size_t size() const { return m_pending.size(); }

private:
    struct pending_proposal {
        control_command command;
        /** The approximate encoded size of the command. */
        std::uint64_t bytes = 0;
        result_callback callback;
        time_point deadline;
        /** The proposal ends only when it is applied on this VM; the leader's result does not suffice. */
        bool requiresLocalApply = false;
        /** The proposal may have reached the leader's log. */
        bool sent = false;
        time_point sentAt {};
    };

    proposal_id idOf(std::uint64_t sequence) const { return { m_replica.vm(), m_start, sequence }; }
    void trySend(std::uint64_t sequence, pending_proposal& item);
    void finish(std::uint64_t sequence, absl::StatusOr<command_result> result);
    proposal_id add(pending_proposal item);
    bool hasRoomFor(const pending_proposal& item) const;
    void rejectLater(result_callback callback);

    replica& m_replica;
    log_leader& m_leader;
    incarnation m_start;
    std::uint64_t m_lastSequence = 0;
    std::map<std::uint64_t, pending_proposal> m_pending;
    /** The sum of pending_proposal::bytes. */
    std::uint64_t m_pendingBytes = 0;
    std::map<std::uint64_t, timer_id> m_rejections;
};

} // namespace plantainlatch
