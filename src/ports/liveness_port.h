#pragma once

/** \file
 * The interface through which the slot allocator learns which upstreams still renew their registration.
 */

#include <functional>
#include <optional>

#include "core/clock.h"
#include "core/ids.h"

namespace plantainlatch {

/** When upstreams were last announced, as far as this VM knows. */
struct liveness_port {
    /** The time of the upstream's last announcement, on this VM's clock; none if this VM knows of no announcement. */
    std::function<std::optional<time_point>(const upstream_id&)> lastSeen;
    /** An upstream gets no new requests when it has not been announced for this long. */
    std::function<duration()> silenceTimeout;
};

} // namespace plantainlatch
