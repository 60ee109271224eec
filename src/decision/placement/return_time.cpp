#include "decision/placement/return_time.h"

#include <algorithm>

namespace plantainlatch {

namespace {

    /** Callers wait at most this part of their remaining time. */
    constexpr int awaitedPart = 3;
    constexpr duration minimumReturn = std::chrono::milliseconds(50);

} // namespace

duration returnTime(duration wait, duration remaining, std::uint64_t random)
{
    const duration latest = std::max(minimumReturn, remaining / awaitedPart);
    const duration earliest = std::clamp(wait, minimumReturn, std::max(minimumReturn, latest * 3 / 4));
    const double position = static_cast<double>(random >> 11U) * 0x1.0p-53;
    return earliest + scaled(latest - earliest, position);
}

} // namespace plantainlatch
