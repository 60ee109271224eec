#pragma once

/** \file
 * This VM's part of the bytes that the links between regions may carry for the system.
 */

#include <cstdint>
#include <map>
#include <utility>

#include "core/clock.h"
#include "core/ids.h"
#include "core/units.h"
#include "model/configuration.h"

namespace plantainlatch {

/**
 * One token bucket for each other region and direction. The declared budget is split evenly among the VMs of this
 * region, so that together they stay within it without talking. An answer's size is known only afterwards; what it took
 * beyond the balance is paid back before the next request may cross.
 */
class link_budget {
public:
    link_budget(region_id self, std::uint32_t vmsInRegion, bool enforced);

    void setLinks(const configuration& config, time_point now);

    /** Whether a request of this size may cross to `target`; it is charged then. */
    bool trySend(const region_id& target, byte_count size, time_point now);
    /** Charges an answer that came from `source`. */
    void chargeAnswer(const region_id& source, byte_count size, time_point now);

private:
    struct bucket {
        double bytesPerSecond = 0;
        /** Bytes that may be sent now; below zero while an answer is paid back. */
        double balance = 0;
        time_point filledAt;
    };

    struct link {
        bucket toRemote;
        bucket fromRemote;
    };

    static void fill(bucket& item, time_point now);

    region_id m_self;
    std::uint32_t m_vmsInRegion;
    bool m_enforced;
    std::map<region_id, link> m_links;
};

} // namespace plantainlatch
