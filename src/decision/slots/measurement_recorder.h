#pragma once

/** \file
 * Aggregates this VM's measurements of the upstreams for the heartbeats to the leader.
 */

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

#include "model/control_message.h"
#include "model/upstream.h"
#include "ports/slot_port.h"

namespace plantainlatch {

/** Collects results and latencies for each service and failure domain. */
class measurement_recorder {
public:
    void note(const upstream_announcement& upstream, const slot_result& result);

    /** Returns the measurements since the last call. */
    std::vector<service_measurement> take();

private:
    /** Maximum number of latencies kept for each service and failure domain; further ones replace the oldest. */
    static constexpr std::size_t maximumLatencies = 512;

    struct domain_counts {
        std::uint64_t answered = 0;
        std::uint64_t failed = 0;
        std::uint64_t refused = 0;
        std::vector<duration> latencies;
    };

    std::map<std::pair<service_id, failure_domain_id>, domain_counts> m_counts;
};

} // namespace plantainlatch
