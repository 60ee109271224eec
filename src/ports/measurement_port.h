#pragma once

/** \file
 * The port that provides this VM's measurements of the upstreams for its heartbeats.
 */

#include <functional>
#include <vector>

#include "model/control_message.h"

namespace plantainlatch {

struct measurement_port {
    /** Returns the measurements since the last call. */
    std::function<std::vector<service_measurement>()> take;
};

} // namespace plantainlatch
