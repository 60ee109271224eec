#pragma once

/** \file
 * Majorities of a set of voters.
 */

#include <algorithm>
#include <cstddef>
#include <functional>
#include <vector>

#include "model/consensus_message.h"

namespace plantainlatch {

/** The number of voters that form a majority. */
inline std::size_t majorityOf(const voter_set& voters) { return voters.voters.size() / 2 + 1; }

/** Whether a majority of the voters is in `granted`; replicas that are not voters are ignored. */
inline bool hasMajority(const voter_set& voters, const std::set<replica_id>& granted)
{
    std::size_t count = 0;
    for (const replica_id& voter : voters.voters)
        count += granted.contains(voter) ? 1 : 0;
    return !voters.voters.empty() && count >= majorityOf(voters);
}

/** The greatest value that a majority of the voters has reached; a default-constructed value without voters. */
template <typename Value>
Value quorumValue(const voter_set& voters, const std::function<Value(const replica_id&)>& valueOf)
{
    std::vector<Value> values;
    for (const replica_id& voter : voters.voters)
        values.push_back(valueOf(voter));
    if (values.empty())
        return Value {};
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[majorityOf(voters) - 1];
}

} // namespace plantainlatch
