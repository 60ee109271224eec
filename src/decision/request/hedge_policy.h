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

/** Latency windows by service; it keeps one for each service that answered. */
class hedge_policy {
public:
    /** Never hedge sooner than this, as the second attempt costs about as much. */
    static constexpr duration minimumDelay = std::chrono::milliseconds(5);

    void observe(const service_id& service, duration latency) { m_windows[service].add(latency); }

    /** How long after its dispatch an attempt counts as slow; none when that is not known. */
    std::optional<duration> delay(const service_id& service) const;

private:
    std::map<service_id, latency_window> m_windows;
};

} // namespace plantainlatch
