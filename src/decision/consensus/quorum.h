#pragma once

/** \file
 * What a majority of the voters agrees on.
 */

#include <algorithm>
#include <cstddef>
#include <functional>
#include <vector>

#include "model/consensus_message.h"

namespace plantainlatch {

/** How many of the voters are a majority. */
inline std::size_t majorityOf(const voter_set& voters) { return voters.voters.size() / 2 + 1; }

/** Whether the yes-sayers among the voters are a majority; others do not count. */
inline bool hasMajority(const voter_set& voters, const std::set<replica_id>& yes)
{
    std::size_t count = 0;
    for (const replica_id& voter : voters.voters)
        count += yes.contains(voter) ? 1 : 0;
    return !voters.voters.empty() && count >= majorityOf(voters);
}

/** The greatest value that a majority of the voters has reached; the lowest value without voters. */
template <typename Value> Value quorumValue(const voter_set& voters, const std::function<Value(const replica_id&)>& of)
{
    std::vector<Value> values;
    for (const replica_id& voter : voters.voters)
        values.push_back(of(voter));
    if (values.empty())
        return Value {};
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[majorityOf(voters) - 1];
}

} // namespace plantainlatch
