#pragma once

/** \file
 * What the VMs measured of the upstreams over the last seconds, as the leader collects it.
 */

#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "core/clock.h"
#include "model/control_message.h"

namespace plantainlatch {

/** What was seen of one service in one failure domain over the window. */
struct domain_statistics {
    std::uint64_t requests = 0;
    std::uint64_t failed = 0;
    /** Requests a second. */
    double perSecond = 0;
    /** The mean of the reported medians and of the reported slow latencies, by requests. */
    duration medianLatency {};
    duration p95Latency {};

    double errorRatio() const
    {
        return requests == 0 ? 0 : static_cast<double>(failed) / static_cast<double>(requests);
    }
};

/** Keeps the measurements of all VMs for some seconds. */
class measurement_window {
public:
    explicit measurement_window(duration span)
        : m_span(span)
    {
    }

    void add(const vm_heartbeat& heartbeat, time_point now);
    void clear() { m_samples.clear(); }

    /** None when nothing was measured of the place within the window. */
    std::optional<domain_statistics> statistics(
        const service_id& service, const failure_domain_id& domain, time_point now) const;

private:
    struct sample {
        time_point at {};
        service_measurement measured;
    };

    /** The most samples of one place; the earliest goes first. */
    static constexpr std::size_t maximumSamples = 4096;

    duration m_span;
    std::map<std::pair<service_id, failure_domain_id>, std::deque<sample>> m_samples;
};

} // namespace plantainlatch
