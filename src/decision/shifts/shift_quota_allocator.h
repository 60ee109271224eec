#pragma once

/** \file
 * The leader's record of what VMs may still spend of the cap of one shift.
 */

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace plantainlatch {

/** How the cap of a shift is spent. */
struct shift_cap_options {
    /** The cap holds over this time at the VMs: one second at the target, and the spread of delays on the way. */
    duration window = std::chrono::milliseconds(1100);
    /** How long an allowance holds. */
    duration lease = std::chrono::seconds(2);
    /** How much longer the leader counts it, for clocks that run unevenly. */
    duration drift = std::chrono::milliseconds(100);
    /** Counts allowances until no window holds them any more; without it the cap is overshot. */
    bool countEarlier = true;
};

/** Gives allowances whose sum never exceeds the cap over any window, whoever led before. */
class shift_quota_allocator {
public:
    shift_quota_allocator(shift_cap_options options, time_point termBegan)
        : m_options(options)
        , m_earlierEnd(termBegan + options.lease + options.drift + options.window)
    {
    }

    /** One start of a VM. */
    using holder = std::pair<vm_id, incarnation>;

    /** The allowance of a VM from now on: at most `wanted`, and what is free. While allowances of an earlier leader may
     * hold, a VM keeps at most what it already has. */
    std::uint32_t grant(
        const holder& vm, std::uint32_t requested, std::uint32_t held, std::uint32_t cap, time_point now);

    /** What all VMs together may spend in a window that has not passed. */
    std::uint32_t reserved(time_point now) const;

private:
    struct allowance {
        std::uint32_t perWindow = 0;
        /** No window that begins after this holds a request spent under it. */
        time_point countsUntil {};
    };

    void prune(time_point now);
    std::uint32_t reservedByOthers(const holder& vm, time_point now) const;
    std::uint32_t reservedBy(const std::vector<allowance>& given, time_point now) const;

    shift_cap_options m_options;
    time_point m_earlierEnd;
    std::map<holder, std::vector<allowance>> m_given;
};

} // namespace plantainlatch
