#pragma once

/** \file
 * The interface that lists the active alerts.
 */

#include <functional>
#include <vector>

#include "ports/operator_port.h"

namespace plantainlatch {

/** The active alerts of this VM: on the leader those of the whole system, on other VMs only their own. */
struct alert_port {
    std::function<std::vector<alert>()> active;
};

} // namespace plantainlatch
