#pragma once

/** \file
 * This entry's estimate of one upstream's health and load, from the results of its own requests and the upstream's load
 * reports.
 */

#include <cstdint>
#include <deque>
#include <optional>

#include "decision/placement/cold_rate_limiter.h"
#include "model/upstream.h"
#include "ports/slot_port.h"

namespace plantainlatch {

/** Tracks load, slowness, failures, ejection and the cold start of one upstream. */
class upstream_stats {
public:
    /** Marks the upstream as cold at least until `until`. */
    void extendColdUntil(time_point until);
    /** Sets the end of the cold start, as the upstream reported it. */
    void setColdUntil(time_point until) { m_coldUntil = until; }
    bool isCold(time_point now) const { return now < m_coldUntil; }
    cold_rate_limiter& coldLimiter() { return m_coldLimiter; }
    const cold_rate_limiter& coldLimiter() const { return m_coldLimiter; }

    /** Counts a request that is sent. */
    void noteRequest() { ++m_ownRequests; }
    /** Records the result of a request. `expected` is its expected latency; zero excludes the request from the
     * slowness. */
    void noteResult(const slot_result& result, std::uint64_t object, duration expected, time_point now);

    /** Whether no requests should be sent for now, because a connection failed or was lost, or another upstream
     * answered at the address. */
    bool isEjected(time_point now) const { return now < m_ejectedUntil; }
    /** The fraction of its recent requests that failed or were refused, as an exponential moving average. */
    double failureRate() const { return m_failureRate; }
    /** Whether an upstream whose failure rate is too high may get a request that probes whether it has recovered. */
    bool isProbeDue(time_point now) const { return now >= m_nextProbe; }
    void noteProbe(time_point now);

    /** The estimated number of requests that run or wait at the upstream. */
    std::uint32_t load(time_point now) const;
    std::uint32_t ownRequests() const { return m_ownRequests; }
    /** The ratio of its latency to the expected one; decays to 1 without new observations. */
    double slowness(time_point now) const;
    /** How much longer a run of the usual time `runTime` is expected to take because the upstream's machine is slow at
     * the moment, by its last report. */
    duration slowMachineDelay(duration runTime, time_point now) const;
    /** Whether the upstream recently answered a request of this entry for the object. */
    bool hasHandled(std::uint64_t object, time_point now) const;

private:
    struct handled_object {
        std::uint64_t object = 0;
        time_point at;
    };

    void eject(time_point now);
    void noteHandled(std::uint64_t object, time_point now);
    void updateSlowness(double ratio, time_point now);

    std::uint32_t m_ownRequests = 0;
    std::uint32_t m_reportedLoad = 0;
    std::uint32_t m_ownAtReport = 0;
    std::optional<time_point> m_reportedAt;
    double m_reportedWorkTimeFactor = 1;
    time_point m_coldUntil {};
    cold_rate_limiter m_coldLimiter;
    time_point m_ejectedUntil {};
    std::uint32_t m_consecutiveFailures = 0;
    double m_failureRate = 0;
    time_point m_nextProbe {};
    double m_slowness = 1;
    time_point m_slownessAt {};
    std::deque<handled_object> m_handled;
};

} // namespace plantainlatch
