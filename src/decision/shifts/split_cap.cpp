#include "decision/shifts/split_cap.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "core/internal_assert.h"

namespace plantainlatch {

namespace {

    /** Counted for each VM beside what it wants, so that a VM that wants nothing yet can begin. */
    constexpr double baseWish = 0.5;

    struct remainder {
        vm_id vm;
        double part = 0;
    };

} // namespace

std::map<vm_id, std::uint32_t> splitCap(std::uint32_t cap, const std::map<vm_id, double>& requested)
{
    std::map<vm_id, std::uint32_t> shares;
    double total = 0;
    for (const auto& [vm, wish] : requested)
        total += wish + baseWish;
    std::uint32_t given = 0;
    std::vector<remainder> remainders;
    for (const auto& [vm, wish] : requested) {
        const double exact = cap * (wish + baseWish) / total;
        const double whole = std::floor(exact);
        shares[vm] = static_cast<std::uint32_t>(whole);
        given += shares[vm];
        remainders.push_back({ vm, exact - whole });
    }
    std::stable_sort(remainders.begin(), remainders.end(),
        [](const remainder& left, const remainder& right) { return left.part > right.part; });
    for (const remainder& item : remainders) {
        if (given >= cap)
            break;
        ++shares[item.vm];
        ++given;
    }
    internal_assert(given <= cap) << given << " given out of " << cap;
    return shares;
}

} // namespace plantainlatch
