#pragma once

/** \file
 * Bounds how many log lines of one kind are written in a while.
 */

#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "core/clock.h"

namespace plantainlatch {

/** Lets so many lines of each kind through in each interval and counts the others. */
class line_limiter {
public:
    line_limiter(std::uint64_t most, duration interval);

    /** What becomes of a line. */
    struct verdict {
        bool passes = false;
        /** Lines of this kind left out before this one; told once. */
        std::uint64_t leftOut = 0;
    };
    verdict check(const std::string& kind, time_point now);

private:
    struct counts {
        time_point begin;
        std::uint64_t passed = 0;
        std::uint64_t leftOut = 0;
    };

    std::uint64_t m_most;
    duration m_interval;
    absl::flat_hash_map<std::string, counts> m_kinds;
};

} // namespace plantainlatch
