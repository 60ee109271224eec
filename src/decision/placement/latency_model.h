#pragma once

/** \file
 * Estimates the latency of a route's requests, separately for upstreams that recently handled the requested object and
 * for those that did not.
 */

#include <map>

#include "core/clock.h"
#include "core/ids.h"

namespace plantainlatch {

/** Whether the upstream recently handled the object. */
enum class object_state {
    /** It recently answered a request of this entry for the object. */
    Known,
    /** It is the object's home, so other entries may have sent requests for the object to it. */
    Likely,
    Unknown,
};

/** Exponential moving averages, per route, of latencies without queueing. */
class latency_model {
public:
    /** The expected latency; before the first observation, a multiple of the route's target latency. */
    duration expected(const route_id& route, object_state state, duration targetLatency) const;

    /** Adds the latency of an answer from an upstream that had free slots. Ignored for Likely, as the latency then
     * can't be attributed to either average. */
    void observe(const route_id& route, object_state state, duration latency);

private:
    struct averages {
        duration known {};
        duration unknown {};
    };

    std::map<route_id, averages> m_routes;
};

} // namespace plantainlatch
