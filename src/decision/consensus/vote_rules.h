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
    /** The last contact with a leader, or for a leader with a majority, is less than the minimum election timeout
     * ago. */
    bool underLease = false;
};

enum class vote_decision {
    /** Refuse and keep the current term. */
    Refuse,
    /** Refuse, but adopt the candidate's later term. */
    RefuseAndAdoptTerm,
    Grant,
};

/** Raft's election restriction: whether a log that ends with the first pair contains every entry that may be committed
 * in a log that ends with the second. */
bool isUpToDate(log_term lastTerm, log_index lastIndex, log_term ownLastTerm, log_index ownLastIndex);

/** Decides on a request for a vote or a pre-vote; neither the term nor the vote changes on a pre-vote. */
vote_decision decideVote(const voter_state& voter, const vote_request& request);

} // namespace plantainlatch
