#include "decision/consensus/voter_changes.h"

#include <algorithm>

namespace plantainlatch {

namespace {

    std::set<replica_id>::const_iterator voterOfVm(const voter_set& voters, const vm_id& vm)
    {
        return std::find_if(
            voters.voters.begin(), voters.voters.end(), [&vm](const replica_id& voter) { return voter.vm == vm; });
    }

    /** The voters without the former identity of a VM that came back with another one; none if there is no such VM. */
    std::optional<voter_set> withoutFormerIdentity(const voter_change_input& input)
    {
        for (const replica_id& present : input.upToDate) {
            const auto former = voterOfVm(input.current, present.vm);
            if (former == input.current.voters.end() || *former == present)
                continue;
            voter_set next = input.current;
            next.voters.erase(*former);
            return next;
        }
        return std::nullopt;
    }

    std::optional<replica_id> replicaToAdd(const voter_change_input& input)
    {
        for (const replica_id& present : input.upToDate) {
            if (voterOfVm(input.current, present.vm) == input.current.voters.end())
                return present;
        }
        return std::nullopt;
    }

} // namespace

std::optional<voter_set> nextVoters(const voter_change_input& input)
{
    if (std::optional<voter_set> next = withoutFormerIdentity(input))
        return next;
    voter_set next = input.current;
    if (next.voters.size() > input.maximumCount) {
        for (const replica_id& voter : input.silent) {
            if (next.voters.erase(voter) > 0)
                return next;
        }
        return std::nullopt;
    }
    const std::optional<replica_id> added = replicaToAdd(input);
    if (!added || (next.voters.size() == input.maximumCount && input.silent.empty()))
        return std::nullopt;
    next.voters.insert(*added);
    return next;
}

} // namespace plantainlatch
