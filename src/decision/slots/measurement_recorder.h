#pragma once

/** \file
 * What this VM saw of the upstreams, summed up for the heartbeats to the leader.
 */

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

#include "model/control_message.h"
#include "model/upstream.h"
#include "ports/slot_port.h"

namespace plantainlatch {

/** Counts results and latencies by service and failure domain until they are taken. */
class measurement_recorder {
public:
    void note(const upstream_announcement& upstream, const slot_result& result);

    /** The measurements since the last call. */
    std::vector<service_measurement> take();

private:
    /** Latencies kept of one place until they are taken; later ones replace the earliest. */
    static constexpr std::size_t maximumLatencies = 512;

    struct place_record {
        std::uint64_t answered = 0;
        std::uint64_t failed = 0;
        std::uint64_t refused = 0;
        std::vector<duration> latencies;
    };

    std::map<std::pair<service_id, failure_domain_id>, place_record> m_places;
};

} // namespace plantainlatch
