#include "decision/shifts/split_cap.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "core/internal_assert.h"

namespace plantainlatch {

namespace {

    /** Added to each VM's demand, so that a VM without demand so far can get a part for its first requests. */
    constexpr double baseDemand = 0.5;

    struct remainder {
        vm_id vm;
        double part = 0;
    };

} // namespace

std::map<vm_id, std::uint32_t> splitCap(std::uint32_t cap, const std::map<vm_id, double>& demands)
{
    std::map<vm_id, std::uint32_t> shares;
    double total = 0;
    for (const auto& [vm, demand] : demands)
        total += demand + baseDemand;
    std::uint32_t assigned = 0;
    std::vector<remainder> remainders;
    for (const auto& [vm, demand] : demands) {
        const double exactPart = cap * (demand + baseDemand) / total;
        const double whole = std::floor(exactPart);
        shares[vm] = static_cast<std::uint32_t>(whole);
        assigned += shares[vm];
        remainders.push_back({ vm, exactPart - whole });
    }
    std::stable_sort(remainders.begin(), remainders.end(),
        [](const remainder& left, const remainder& right) { return left.part > right.part; });
    for (const remainder& item : remainders) {
        if (assigned >= cap)
            break;
        ++shares[item.vm];
        ++assigned;
    }
    internal_assert(assigned <= cap) << assigned << " assigned of " << cap;
    return shares;
}

} // namespace plantainlatch
