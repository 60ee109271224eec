#pragma once

/** \file
 * Request hedging: when to send a slow idempotent request to a second upstream.
 */

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace plantainlatch {

/** A sliding window of one service's latencies and their 95th percentile. */
class latency_window {
public:
    /** The number of samples kept. */
    static constexpr std::size_t size = 128;
    /** The minimum number of samples needed to compute the percentile. */
    static constexpr std::size_t minimumSamples = 32;
    /** The percentile is recomputed after this many new samples. */
    static constexpr std::size_t samplesPerUpdate = 32;

    void add(duration latency);

    /** The 95th percentile; none if there are too few samples. */
    std::optional<duration> p95() const { return m_p95; }

private:
    std::vector<duration> m_samples;
    std::size_t m_next = 0;
    std::size_t m_samplesSinceUpdate = 0;
    std::optional<duration> m_p95;
};

/** Decides whether and when to hedge, based on the latencies of each service and on how often its attempts wait for a
 * slot. */
class hedge_policy {
public:
    /** The minimum delay before a hedge. An earlier hedge gains nothing, as the second attempt itself takes about as
     * long.
     */
    static constexpr duration minimumDelay = std::chrono::milliseconds(5);
    /** The smoothing factor of the moving average of the share of attempts that waited for a slot. */
    static constexpr double waitingWeight = 1.0 / 16;
    /** The maximum share of attempts that waited for a slot at which hedges are allowed. Above it, slots are scarce and
     * hedges would take them from first attempts. */
    static constexpr double maximumWaitingShare = 0.2;

    void observeLatency(const service_id& service, duration latency) { m_records[service].latencies.add(latency); }
    /** Records whether an attempt had to wait for its slot. An attempt that got no slot counts as waiting. */
    void observeSlot(const service_id& service, bool waited);

    /** Whether the service has enough slots for hedges. */
    bool hasSpareSlots(const service_id& service) const;
    /** The time from the start of a call until it is hedged; none if there are too few samples. */
    std::optional<duration> delay(const service_id& service) const;
    /** The 95th percentile of the service's latencies; none if there are too few samples. */
    std::optional<duration> p95Latency(const service_id& service) const;

private:
    struct record {
        latency_window latencies;
        double waitingShare = 0;
    };

    std::map<service_id, record> m_records;
};

} // namespace plantainlatch
