#pragma once

/** \file
 * How long recent requests of each kind took, to judge whether a new one ends before this VM does.
 */

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace plantainlatch {

/** Requests that are expected to take about as long as each other. */
struct request_kind {
    /** Empty if callers name the service. */
    route_id route;
    service_id service;
    friend auto operator<=>(const request_kind&, const request_kind&) = default;
};

/** Keeps the durations of the last requests of each kind, from arrival to answer. */
class request_durations {
public:
    /** The number of durations kept for each kind. */
    static constexpr std::size_t size = 128;
    /** The minimum number of durations needed for longest(). */
    static constexpr std::size_t minimumSamples = 16;
    /** The maximum number of kinds. Beyond it all are forgotten, so that those of removed routes don't pile up. */
    static constexpr std::size_t maximumKinds = 4096;

    void observe(const request_kind& kind, duration elapsed);

    /** The longest duration kept; none if there are too few. */
    std::optional<duration> longest(const request_kind& kind) const;

    /** The number of kinds with durations. */
    std::size_t kinds() const { return m_windows.size(); }

private:
    struct window {
        std::vector<duration> samples;
        std::size_t next = 0;
    };

    std::map<request_kind, window> m_windows;
};

} // namespace plantainlatch
