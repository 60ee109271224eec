#include "decision/consensus/voter_replacement.h"

#include <algorithm>

namespace plantainlatch {

namespace {

    int rankOf(const silent_voter& voter)
    {
        if (voter.vmAnswers)
            return 2;
        return voter.sharesFailureDomain ? 0 : 1;
    }

} // namespace

bool sharesFailureDomain(const replica_id& voter, const voter_set& voters, const std::map<vm_id, vm_start_record>& vms)
{
    const auto found = vms.find(voter.vm);
    if (found == vms.end())
        return false;
    return std::any_of(voters.voters.begin(), voters.voters.end(), [&](const replica_id& other) {
        const auto record = vms.find(other.vm);
        return other.vm != voter.vm && record != vms.end()
            && record->second.record.failureDomain == found->second.record.failureDomain;
    });
}

std::vector<replica_id> orderOfReplacement(std::vector<silent_voter> voters)
{
    std::stable_sort(voters.begin(), voters.end(),
        [](const silent_voter& left, const silent_voter& right) { return rankOf(left) < rankOf(right); });
    std::vector<replica_id> order;
    order.reserve(voters.size());
    for (const silent_voter& voter : voters)
        order.push_back(voter.id);
    return order;
}

} // namespace plantainlatch
