#pragma once

/** \file
 * Which change of the voters comes next, one replica at a time.
 */

#include <optional>
#include <set>

#include "model/consensus_message.h"

namespace plantainlatch {

/** The voters after the next change, given the replicas with a working disk that are up to date: a lost disk's identity
 * goes first, then the new one of its VM comes; none when nothing is to be done. */
std::optional<voter_set> nextVoters(
    const voter_set& current, const std::set<replica_id>& upToDate, std::size_t largestCount);

} // namespace plantainlatch
