#pragma once

/** \file
 * The hook by which heartbeats get what this VM measured of its upstreams.
 */

#include <functional>
#include <vector>

#include "model/control_message.h"

namespace plantainlatch {

/** What this VM measured. */
struct measurement_port {
    /** The measurements since the last call. */
    std::function<std::vector<service_measurement>()> take;
};

} // namespace plantainlatch
