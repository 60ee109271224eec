#pragma once

/** \file
 * The upstreams that may get work, with their limits, as a value made from the control state.
 */

#include <cstdint>
#include <map>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "model/control_snapshot.h"

namespace plantainlatch {

/** An upstream with the limits that hold for it now. */
struct usable_upstream {
    upstream_announcement announcement;
    /** How many requests it may run; 0 while it is drained, withdrawn or of no declared service. */
    std::uint32_t capacity = 0;
    /** The longest that work may run on it. */
    duration maximumDeadline {};
    /** The most connections to it from all VMs together. */
    std::uint32_t connections = 0;
};

/** All upstreams of the directory by name and by service. */
struct upstream_table {
    std::map<upstream_id, usable_upstream> upstreams;
    std::map<service_id, std::vector<upstream_id>> byService;

    /** None for an upstream that is not in the directory. */
    const usable_upstream* find(const upstream_id& id) const;
};

/** Reads the directory with the limits, withdrawals and drains that hold for each upstream. */
upstream_table makeUpstreamTable(const control_snapshot& state);

/** The longest deadline of any service; work dispatched on a slot ends by then. */
duration longestDeadline(const configuration& config);

} // namespace plantainlatch
