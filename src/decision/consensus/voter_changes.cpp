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
    std::optional<voter_set> withoutFormerIdentity(const voter_change_input& situation)
    {
        for (const replica_id& present : situation.upToDate) {
            const auto former = voterOfVm(situation.current, present.vm);
            if (former == situation.current.voters.end() || *former == present)
                continue;
            voter_set next = situation.current;
            next.voters.erase(*former);
            return next;
        }
        return std::nullopt;
    }

    std::optional<replica_id> replicaToAdd(const voter_change_input& situation)
    {
        for (const replica_id& present : situation.upToDate) {
            if (voterOfVm(situation.current, present.vm) == situation.current.voters.end())
                return present;
        }
        return std::nullopt;
    }

} // namespace

std::optional<voter_set> nextVoters(const voter_change_input& situation)
{
    if (std::optional<voter_set> next = withoutFormerIdentity(situation))
        return next;
    const std::optional<replica_id> waiting = replicaToAdd(situation);
    if (!waiting)
        return std::nullopt;
    voter_set next = situation.current;
    if (next.voters.size() < situation.maximumCount) {
        next.voters.insert(*waiting);
        return next;
    }
    for (const replica_id& voter : situation.silent) {
        if (next.voters.erase(voter) > 0)
            return next;
    }
    return std::nullopt;
}

} // namespace plantainlatch
