#pragma once

/** \file
 * Limits the rate of log lines by kind.
 */

#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "core/clock.h"

namespace plantainlatch {

/** Passes at most `maximum` lines of each kind in an interval and counts the lines that it suppresses. */
class line_limiter {
public:
    line_limiter(std::uint64_t maximum, duration interval);

    struct verdict {
        bool passes = false;
        /** The number of lines of this kind that were suppressed since the last one that passed. */
        std::uint64_t suppressed = 0;
    };
    verdict check(const std::string& kind, time_point now);

private:
    struct counts {
        time_point begin;
        std::uint64_t passed = 0;
        std::uint64_t suppressed = 0;
    };

    std::uint64_t m_maximum;
    duration m_interval;
    absl::flat_hash_map<std::string, counts> m_kinds;
};

} // namespace plantainlatch
