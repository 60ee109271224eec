#pragma once

/** \file
 * Leader election: election timeouts, pre-votes and votes.
 */

#include <functional>
#include <set>

#include "decision/consensus/replica.h"
#include "decision/consensus/vote_rules.h"

namespace plantainlatch {

/** Runs elections for one replica, as candidate and as voter. */
class election {
public:
    /** `onElected` is called when this replica wins an election. While it leads, `leaseStart` returns the start
     * of its lease. */
    election(replica& self, std::function<void()> onElected, std::function<time_point()> leaseStart);

    /** Starts the first election timeout. */
    void start();
    /** Starts an election if the timeout has expired. */
    void onTick();
    /** Restarts the election timeout, after contact with a leader or after granting a vote. */
    void resetElectionTimeout();

    void onVoteRequest(const vm_id& from, const vote_request& request);
    void onVoteAnswer(const vote_answer& answer);
    /** Starts an election at once, without a pre-vote, if the request is from the current leader. */
    void onTransferRequest(const transfer_request& request);

private:
    bool canCampaign() const { return m_replica.mayVote() && m_replica.isVoter(); }
    bool underLease() const;
    void setElectionDeadline(duration minimum);
    voter_state voterState() const;
    void startPreVote();
    void campaign(bool transfer);
    void requestVotes(log_term term, bool preVote, bool transfer);
    void countVotes();
    void answer(const vm_id& to, const vote_request& request, bool granted);

    replica& m_replica;
    std::function<void()> m_onElected;
    std::function<time_point()> m_leaseStart;
    time_point m_electionDeadline {};
    std::set<replica_id> m_votes;
};

} // namespace plantainlatch
