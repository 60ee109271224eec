#pragma once

/** \file
 * The rules by which a replica gives its vote.
 */

#include "model/consensus_message.h"

namespace plantainlatch {

/** What a replica knows when it is asked for its vote. */
struct voter_view {
    log_term term;
    replica_id votedFor;
    log_index lastIndex;
    log_term lastTerm;
    /** It has a working disk and a log. */
    bool mayVote = false;
    /** It heard a leader within the minimum election timeout, or leads and was heard by a majority within it. */
    bool underLease = false;
};

enum class vote_decision {
    /** Refuse; the asker's term changes nothing. */
    Refuse,
    /** Refuse, but move on to the asker's term. */
    RefuseAndAdoptTerm,
    Grant,
};

/** Whether a log that ends at the first pair has all that one that ends at the second may have committed. */
bool isUpToDate(log_term lastTerm, log_index lastIndex, log_term ownLastTerm, log_index ownLastIndex);

/** Decides on a request for a vote or a pre-vote; a pre-vote changes nothing. */
vote_decision decideVote(const voter_view& voter, const vote_request& request);

} // namespace plantainlatch
