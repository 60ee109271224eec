#pragma once

/** \file
 * The choice of an upstream among those of which this VM holds an idle slot.
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

/** What the choice looks at. */
struct slot_picker_view {
    region_id home;
    const upstream_table* table = nullptr;
    const std::map<region_id, slot_holdings>* holdings = nullptr;
    const upstream_quality* quality = nullptr;
    link_budget* links = nullptr;
    std::function<std::uint64_t()> random;
};

/** What is asked of the choice. */
struct slot_wish {
    service_id service;
    std::vector<upstream_id> avoid;
    byte_count bodySize;
    /** The failure domain that should take the request; empty for any. */
    failure_domain_id preferred;
    /** Upstreams of other regions may take it too. */
    bool mayLeaveRegion = false;
};

/**
 * The upstream to use: in the preferred failure domain before the home region, that before other regions, and of two
 * drawn at random the one that answered faster lately (the power of two choices). None when no slot is idle. A slot in
 * another region is charged to the link's budget.
 */
const usable_upstream* pickUpstream(const slot_picker_view& view, const slot_wish& wish, time_point now);

/** The failure domain that a request of a service should go to. */
struct domain_choice {
    failure_domain_id failureDomain;
    /** The shift that sent it there, if one did. */
    std::optional<shift_id> shift;
};

/** Draws a failure domain by the declared shares, those of the home region first, and then by the shifts that run. */
domain_choice drawDomain(
    const slot_picker_view& view, const configuration& config, const shift_port& shifts, const service_id& service);

} // namespace plantainlatch
