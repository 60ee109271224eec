#pragma once

/** \file
 * The rules for granting votes and pre-votes.
 */

#include "model/consensus_message.h"

namespace plantainlatch {

/** The state of a replica that a vote request is checked against. */
struct voter_state {
    log_term term;
    replica_id votedFor;
    log_index lastIndex;
    log_term lastTerm;
    /** The replica has a working disk and a log. */
    bool mayVote = false;
    /** Less than the minimum election timeout has passed since the last contact with the leader or, if this replica is
     * the leader, with a majority. */
    bool underLease = false;
};

enum class vote_decision {
    /** Refuse and keep the current term. */
    Refuse,
    /** Refuse, but adopt the candidate's later term. */
    RefuseAndAdoptTerm,
    Grant,
};

/** Raft's election restriction: whether a candidate's log, which ends with `lastTerm` and `lastIndex`, is at least as
 * up to date as the voter's own log and therefore contains every committed entry of it. */
bool isUpToDate(log_term lastTerm, log_index lastIndex, log_term ownLastTerm, log_index ownLastIndex);

/** Decides on a request for a vote or a pre-vote; neither the term nor the vote changes on a pre-vote. */
vote_decision decideVote(const voter_state& voter, const vote_request& request);

} // namespace plantainlatch
