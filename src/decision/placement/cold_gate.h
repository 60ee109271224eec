#pragma once

/** \file
 * Bounds what this entry sends to one cold upstream, so that all entries together stay within what it bears.
 */

#include <cstddef>
#include <deque>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace plantainlatch {

/** The most requests that all entries together may send to a cold upstream within a second. */
struct cold_rate_limit {
    /** Multiplies the rate that the upstream bears. */
    double factor = 1;
    /** Requests beyond that. */
    double slack = 0;
};

/** This entry's whole number of requests a second out of `total` for all entries: equal parts, and the remainder to the
 * entries that hash first for the upstream. */
std::size_t coldShare(double total, const std::vector<vm_id>& entries, const vm_id& self, const upstream_id& upstream);

/** Lets at most so many through in any window. */
class cold_gate {
public:
    /** Takes one passage; false when `most` went through within the last window. */
    bool pass(std::size_t most, time_point now);
    /** How many went through within the last window. */
    std::size_t passed(time_point now) const;

private:
    std::deque<time_point> m_passed;
};

} // namespace plantainlatch
