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
    /** The expected latency; before the first observation, a multiple of the route's target latency. That limits an
     * average that was not observed for a while, too: while all requests of a route are refused because of a high
     * average, nothing would lower it. */
    duration expected(const route_id& route, object_state state, duration targetLatency, time_point now) const;

    /** Adds the latency of an answer from an upstream that had free slots. Ignored for Likely, as the latency then
     * can't be attributed to either average. */
    void observe(const route_id& route, object_state state, duration latency, time_point now);

private:
    struct average {
        duration mean {};
        time_point observedAt {};
    };

    struct averages {
        average known;
        average unknown;
    };

    static duration estimate(const average& seen, duration initial, time_point now);
    static void update(average& seen, duration sample, time_point now);
    static bool isOutdated(const average& seen, time_point now);

    std::map<route_id, averages> m_routes;
};

} // namespace plantainlatch
