#pragma once

/** \file
 * Which change of the voters comes next, one replica at a time.
 */

#include <optional>
#include <set>

#include "model/consensus_message.h"

namespace plantainlatch {

/** What a change of the voters is chosen from. */
struct voter_situation {
    voter_set current;
    /** Replicas with a working disk that have all but the newest entries. */
    std::set<replica_id> upToDate;
    /** Voters that were not heard of for long. */
    std::set<replica_id> silent;
    /** The most voters; a replica beyond them is a voter only in place of a silent one. */
    std::size_t largestCount = 0;
};

/** The voters after the next change: a lost disk's identity goes first, then the new one of its VM comes; a silent
 * voter goes when an up-to-date replica waits for its place; none when nothing is to be done. */
std::optional<voter_set> nextVoters(const voter_situation& situation);

} // namespace plantainlatch
