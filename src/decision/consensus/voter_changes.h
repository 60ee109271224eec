#pragma once

/** \file
 * Selects the next change of the set of voters; each change adds or removes one replica.
 */

#include <optional>
#include <set>
#include <vector>

#include "model/consensus_message.h"

namespace plantainlatch {

/** The state that a change of the voters is based on. */
struct voter_change_input {
    voter_set current;
    /** Replicas with a working disk that miss at most a few of the latest entries. */
    std::set<replica_id> upToDate;
    /** Voters that have not answered for consensus_options::replaceVoterAfter, the first to be replaced first. */
    std::vector<replica_id> silent;
    /** The maximum number of voters, apart from one that is being replaced. */
    std::size_t maximumCount = 0;
};

/** The voters after the next change; none if no change is needed. A voter whose VM came back with another identity is
 * removed first. Otherwise an up-to-date replica that is not a voter is added, at the maximum count only if a voter is
 * silent, which is removed afterwards: a silent voter may still have its disk, and without its vote one voter fewer
 * could be lost until the other replica has one. */
std::optional<voter_set> nextVoters(const voter_change_input& input);

} // namespace plantainlatch
