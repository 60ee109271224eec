#pragma once

/** \file
 * How long the requests of a route take on an upstream that handled their object lately, and on one that did not.
 */

#include <map>

#include "core/clock.h"
#include "core/ids.h"

namespace plantainlatch {

/** Whether the upstream is expected to know the object. */
enum class object_state { Known, Unknown };

/** Moving averages of latencies without queueing. */
class latency_model {
public:
    /** The expected latency; before anything was seen, a part or multiple of the objective. */
    duration expected(const route_id& route, object_state state, duration objective) const;

    /** An answer took so long on an upstream with free slots. */
    void observe(const route_id& route, object_state state, duration latency);

private:
    struct averages {
        duration known {};
        duration unknown {};
    };

    std::map<route_id, averages> m_routes;
};

} // namespace plantainlatch
