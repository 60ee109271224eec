#pragma once

/** \file
 * How long the requests of a route take on an upstream that handled their object lately, and on one that did not.
 */

#include <map>

#include "core/clock.h"
#include "core/ids.h"

namespace plantainlatch {

/** Whether the upstream knows the object. */
enum class object_state {
    /** It answered this entry on it lately. */
    Known,
    /** It is the object's home, so that other entries may have used it there. */
    Likely,
    Unknown,
};

/** Moving averages of latencies without queueing. */
class latency_model {
public:
    /** The expected latency; before anything was seen, a part or multiple of the objective. */
    duration expected(const route_id& route, object_state state, duration targetLatency) const;

    /** An answer took so long on an upstream with free slots. Where the object was only likely to be known, nothing is
     * learnt. */
    void observe(const route_id& route, object_state state, duration latency);

private:
    struct averages {
        duration known {};
        duration unknown {};
    };

    std::map<route_id, averages> m_routes;
};

} // namespace plantainlatch
