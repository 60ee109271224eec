#pragma once

/** \file
 * Rate limits, in bytes per second, for the traffic of this VM between regions.
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
 * One token bucket for each other region and direction. The declared budget of a link is divided evenly among the VMs
 * of this region, so that they stay within it without coordination. The size of an answer is known only when it has
 * arrived, so it may overdraw the bucket; no request is sent over the link while the balance is negative.
 */
class link_budget {
public:
    link_budget(region_id self, std::uint32_t vmsInRegion, bool enforced);

    void setLinks(const configuration& config, time_point now);

    /** Whether a request of this size may be sent to `target`; if so, it is charged. */
    bool trySend(const region_id& target, byte_count size, time_point now);
    /** Charges an answer from `source`. */
    void chargeAnswer(const region_id& source, byte_count size, time_point now);

private:
    struct bucket {
        double bytesPerSecond = 0;
        /** Bytes that may be sent now; negative after an answer that overdrew it. */
        double balance = 0;
        time_point refilledAt;
    };

    struct link {
        bucket toRemote;
        bucket fromRemote;
    };

    static void refill(bucket& item, time_point now);

    region_id m_self;
    std::uint32_t m_vmsInRegion;
    bool m_enforced;
    std::map<region_id, link> m_links;
};

} // namespace plantainlatch
