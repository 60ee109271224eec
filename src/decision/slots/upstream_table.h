#pragma once

/** \file
 * A snapshot of the upstreams in the directory with the limits that apply to each.
 */

#include <cstdint>
#include <map>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "model/control_snapshot.h"

namespace plantainlatch {

/** An upstream and its current limits. */
struct usable_upstream {
    upstream_announcement announcement;
    /** Maximum number of concurrent requests; 0 while it is drained or withdrawn or its service is not declared. */
    std::uint32_t capacity = 0;
    /** The longest deadline of a request to it. */
    duration maximumDeadline {};
    /** Maximum number of connections to it from all VMs together. */
    std::uint32_t connections = 0;
};

/** All upstreams of the directory. */
struct upstream_table {
    std::map<upstream_id, usable_upstream> upstreams;
    std::map<service_id, std::vector<upstream_id>> byService;

    /** Null for an upstream that is not in the directory. */
    const usable_upstream* find(const upstream_id& id) const;
};

/** Combines the directory with the limits, withdrawals and drains that apply to each upstream. */
upstream_table makeUpstreamTable(const control_snapshot& state);

/** The longest deadline of any service, which also bounds how long a request may run after its dispatch. */
duration longestDeadline(const configuration& config);

} // namespace plantainlatch
