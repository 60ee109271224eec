#pragma once

/** \file
 * The hooks by which the choice of an upstream follows shares and shifts.
 */

#include <functional>
#include <optional>
#include <vector>

#include "core/ids.h"

namespace plantainlatch {

/** The part of a service's traffic that a failure domain should take now. */
struct domain_weight {
    failure_domain_id failureDomain;
    double weight = 0;
};

/** A shift that moves part of the traffic of one failure domain to another. */
struct active_shift {
    shift_id id;
    failure_domain_id from;
    failure_domain_id to;
    /** How much of the source's traffic the shift moves now, 0 to 1. */
    double fraction = 0;
};

/** Shares and shifts as this VM should follow them. */
struct shift_port {
    /** The declared shares of a service; empty when none are declared, and then nearness alone decides. */
    std::function<std::vector<domain_weight>(const service_id&)> weights;
    std::function<std::vector<active_shift>(const service_id&)> shifts;
    /** Takes one request out of this VM's part of the shift's cap; false when none is left. */
    std::function<bool(const shift_id&)> tryAcquire;
};

} // namespace plantainlatch
