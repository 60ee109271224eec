#pragma once

/** \file
 * The interface through which upstream selection reads traffic shares and shifts, and enforces the rate caps of shifts.
 */

#include <functional>
#include <optional>
#include <vector>

#include "core/ids.h"

namespace plantainlatch {

/** The weight of a failure domain among all that take traffic of a service. */
struct domain_weight {
    failure_domain_id failureDomain;
    double weight = 0;
};

/** A shift that moves part of the traffic of one failure domain to another. */
struct active_shift {
    shift_id id;
    failure_domain_id from;
    failure_domain_id to;
    /** The fraction of the source's traffic that the shift moves at present, 0 to 1. */
    double fraction = 0;
};

/** The traffic shares and shifts that are in force on this VM. */
struct shift_port {
    /** The declared shares of a service. If there are none, traffic is distributed by proximity alone. */
    std::function<std::vector<domain_weight>(const service_id&)> weights;
    /** The shifts of a service that move traffic at present. */
    std::function<std::vector<active_shift>(const service_id&)> shifts;
    /** Admits one request under this VM's quota of the shift's rate cap; false if the quota is used up. */
    std::function<bool(const shift_id&)> tryAcquire;
};

} // namespace plantainlatch
