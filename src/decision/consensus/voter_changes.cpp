#include "decision/consensus/voter_changes.h"

#include <algorithm>

namespace plantainlatch {

namespace {

    std::set<replica_id>::const_iterator voterOfVm(const voter_set& voters, const vm_id& vm)
    {
        return std::find_if(
            voters.voters.begin(), voters.voters.end(), [&vm](const replica_id& voter) { return voter.vm == vm; });
    }

} // namespace

std::optional<voter_set> nextVoters(
    const voter_set& current, const std::set<replica_id>& upToDate, std::size_t largestCount)
{
    for (const replica_id& present : upToDate) {
        const auto former = voterOfVm(current, present.vm);
        if (former == current.voters.end() || *former == present)
            continue;
        voter_set next = current;
        next.voters.erase(*former);
        return next;
    }
    for (const replica_id& present : upToDate) {
        if (voterOfVm(current, present.vm) != current.voters.end() || current.voters.size() >= largestCount)
            continue;
        voter_set next = current;
        next.voters.insert(present);
        return next;
    }
    return std::nullopt;
}

} // namespace plantainlatch
