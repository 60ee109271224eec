#pragma once

/** \file
 * The hooks by which the allocator learns which upstreams still announce themselves.
 */

#include <functional>
#include <optional>

#include "core/clock.h"
#include "core/ids.h"

namespace plantainlatch {

/** When upstreams were last heard of, as far as this VM was told. */
struct liveness_port {
    /** None when this VM never heard of it; the moment is on this VM's clock. */
    std::function<std::optional<time_point>(const upstream_id&)> lastSeen;
    /** After this silence an upstream gets no new work. */
    std::function<duration()> silenceTimeout;
};

} // namespace plantainlatch
