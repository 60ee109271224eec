#include "decision/consensus/vote_rules.h"

#include <tuple>

namespace plantainlatch {

namespace {

    /** Whether the leader of the current term asked the candidate to start this election and so gave up its lease. */
    bool leaderGaveUpLease(const voter_state& voter, const vote_request& request)
    {
        return request.transfer && request.term == voter.term.next();
    }

} // namespace

bool isUpToDate(log_term lastTerm, log_index lastIndex, log_term ownLastTerm, log_index ownLastIndex)
{
    return std::tie(lastTerm, lastIndex) >= std::tie(ownLastTerm, ownLastIndex);
}

vote_decision decideVote(const voter_state& voter, const vote_request& request)
{
    if (!voter.mayVote || request.term < voter.term)
        return vote_decision::Refuse;
    if (voter.underLease && !leaderGaveUpLease(voter, request))
        return vote_decision::Refuse;
    const bool isUpToDateLog = isUpToDate(request.lastTerm, request.lastIndex, voter.lastTerm, voter.lastIndex);
    if (request.preVote)
        return isUpToDateLog && request.term > voter.term ? vote_decision::Grant : vote_decision::Refuse;
    const bool isNewTerm = request.term > voter.term;
    const bool canVoteForCandidate
        = isNewTerm || voter.votedFor == replica_id {} || voter.votedFor == request.candidate;
    if (isUpToDateLog && canVoteForCandidate)
        return vote_decision::Grant;
    return isNewTerm ? vote_decision::RefuseAndAdoptTerm : vote_decision::Refuse;
}

} // namespace plantainlatch
