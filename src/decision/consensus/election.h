#pragma once

/** \file
 * How a replica becomes the leader of a term: timeouts, pre-votes and votes.
 */

#include <functional>
#include <set>

#include "decision/consensus/replica.h"
#include "decision/consensus/vote_rules.h"

namespace plantainlatch {

/** The election part of one replica. */
class election {
public:
    /** `elected` is called when this replica won a term; `leaseBasis` tells when a leader was last heard by a majority.
     */
    election(replica& self, std::function<void()> elected, std::function<time_point()> leaseBasis);

    /** Begins to wait for a leader. */
    void start();
    /** Looks whether the wait is over. */
    void onTick();
    /** A leader was heard, or a vote given: the wait begins anew. */
    void restartWait();

    void onVoteRequest(const vm_id& from, const vote_request& request);
    void onVoteAnswer(const vote_answer& answer);
    /** The leader asks this replica to take over. */
    void onTransferRequest(const transfer_request& request);

private:
    bool canCampaign() const { return m_replica.mayVote() && m_replica.isVoter(); }
    bool underLease() const;
    void waitFor(duration least);
    voter_view view() const;
    void askBeforehand();
    void campaign(bool transfer);
    void requestVotes(log_term term, bool preVote, bool transfer);
    void countVotes();
    void answer(const vm_id& to, const vote_request& request, bool granted);

    replica& m_replica;
    std::function<void()> m_elected;
    std::function<time_point()> m_leaseBasis;
    time_point m_waitEnd {};
    std::set<replica_id> m_votes;
};

} // namespace plantainlatch
