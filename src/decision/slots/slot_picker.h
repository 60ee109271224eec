#pragma once

/** \file
 * Chooses an upstream from those on which this VM holds an idle slot.
 */

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "decision/slots/link_budget.h"
#include "decision/slots/slot_holdings.h"
#include "decision/slots/upstream_quality.h"
#include "decision/slots/upstream_table.h"
#include "ports/shift_port.h"
#include "ports/slot_port.h"

namespace plantainlatch {

/** The state that the choice depends on. */
struct slot_picker_view {
    region_id localRegion;
    const upstream_table* table = nullptr;
    const std::map<region_id, slot_holdings>* holdings = nullptr;
    const upstream_quality* quality = nullptr;
    link_budget* links = nullptr;
    std::function<std::uint64_t()> random;
};

/** The conditions that an upstream must or should meet. */
struct upstream_criteria {
    service_id service;
    /** Upstreams that are chosen only when no other has an idle slot. */
    std::vector<upstream_id> avoid;
    byte_count bodySize;
    /** The failure domain whose upstreams are preferred; empty for no preference. */
    failure_domain_id preferred;
    /** Whether upstreams of other regions may be chosen outside the preferred failure domain. */
    bool allowOtherRegions = false;
};

/**
 * Picks an upstream that has an idle slot and is neither ejected nor paused: from the preferred failure domain,
 * otherwise from the local region, otherwise from other regions. Within each of these groups it draws two upstreams at
 * random and takes the one with the lower average latency (the power of two choices). When that one is in another
 * region, the request's size is charged to the link budget; if the budget does not allow it, the next group is tried.
 * Returns null when no group yields an upstream.
 */
const usable_upstream* pickUpstream(const slot_picker_view& view, const upstream_criteria& criteria, time_point now);

/** The failure domain that a request of a service should go to. */
struct domain_choice {
    failure_domain_id failureDomain;
    /** The shift that moved the request to `failureDomain`, if any. */
    std::optional<shift_id> shift;
};

/** Draws a failure domain by the declared weights and then applies active shifts. If the local region has positive
 * weights, only these count. */
domain_choice drawDomain(
    const slot_picker_view& view, const configuration& config, const shift_port& shifts, const service_id& service);

} // namespace plantainlatch
