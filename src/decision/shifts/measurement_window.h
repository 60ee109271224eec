#pragma once

/** \file
 * Aggregates the upstream measurements of all VMs on the leader, over a sliding window.
 */

#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "core/clock.h"
#include "model/control_message.h"

namespace plantainlatch {

/** One service's measurements in one failure domain, aggregated over all VMs and the window. */
struct domain_statistics {
    std::uint64_t requests = 0;
    /** Failed or refused requests. */
    std::uint64_t failed = 0;
    /** Requests a second. */
    double perSecond = 0;
    /** The means of the reported medians and 95th percentiles, weighted by requests. */
    duration medianLatency {};
    duration p95Latency {};

    double errorRatio() const
    {
        return requests == 0 ? 0 : static_cast<double>(failed) / static_cast<double>(requests);
    }
};

/** A sliding window over the measurements in heartbeats. */
class measurement_window {
public:
    explicit measurement_window(duration span)
        : m_span(span)
    {
    }

    void add(const vm_heartbeat& heartbeat, time_point now);
    void clear() { m_samples.clear(); }

    /** The aggregate of one service in one failure domain; none if the window contains no requests. */
    std::optional<domain_statistics> statistics(
        const service_id& service, const failure_domain_id& domain, time_point now) const;

private:
    struct sample {
        time_point receivedAt {};
        service_measurement measured;
    };

    /** The most samples of one service and failure domain; the earliest is dropped first. */
    static constexpr std::size_t maximumSamples = 4096;

    duration m_span;
    std::map<std::pair<service_id, failure_domain_id>, std::deque<sample>> m_samples;
};

} // namespace plantainlatch
