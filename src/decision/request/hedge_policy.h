#pragma once

/** \file
 * When a slow idempotent request is worth a second attempt.
 */

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace plantainlatch {

/** The slow end of the recent latencies of one service. */
class latency_window {
public:
    /** How many latencies are kept. */
    static constexpr std::size_t size = 128;
    /** With fewer than these nothing is said. */
    static constexpr std::size_t minimumSamples = 32;
    /** How many new latencies come between two looks at the percentile. */
    static constexpr std::size_t samplesPerLook = 32;

    void add(duration latency);

    /** The 95th percentile; none with too few samples. */
    std::optional<duration> slow() const { return m_slow; }

private:
    std::vector<duration> m_samples;
    std::size_t m_next = 0;
    std::size_t m_sinceLook = 0;
    std::optional<duration> m_slow;
};

/** When to hedge, by service; it keeps a record for each service that answered. */
class hedge_policy {
public:
    /** Never hedge sooner than this, as the second attempt costs about as much. */
    static constexpr duration minimumDelay = std::chrono::milliseconds(5);
    /** The weight of the last request in the part of requests that waited for a slot. */
    static constexpr double waitingWeight = 1.0 / 16;
    /** When a larger part of the requests waits, slots are short and hedges would take them from first attempts. */
    static constexpr double largestWaitingPart = 0.2;

    void observeLatency(const service_id& service, duration latency) { m_records[service].latencies.add(latency); }
    /** Whether a request's first attempt had to wait for its slot, or got none. */
    void observeSlot(const service_id& service, bool waited);

    /** Whether slots are plentiful enough for second attempts. */
    bool hasRoom(const service_id& service) const;
    /** How long after its dispatch an attempt counts as slow; none when that is not known. */
    std::optional<duration> delay(const service_id& service) const;
    /** The 95th percentile of the service's latencies; none when that is not known. */
    std::optional<duration> p95Latency(const service_id& service) const;

private:
    struct record {
        latency_window latencies;
        double waitingPart = 0;
    };

    std::map<service_id, record> m_records;
};

} // namespace plantainlatch
