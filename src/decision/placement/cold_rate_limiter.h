#pragma once

/** \file
 * A rate limiter for requests to a cold upstream. Each entry gets a fixed share of the upstream's limit, so that all
 * entries together stay within it without coordination.
 */

#include <cstddef>
#include <deque>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace plantainlatch {

/** How the limit for a cold upstream, in requests per second over all entries, follows from the service's cold rate:
 * `coldRate * factor + slack`. */
struct cold_rate_limit {
    double factor = 1;
    double slack = 0;
};

/** This entry's share of `total` requests per second, as a whole number. `total`, rounded down, is divided equally
 * among the entries; if it does not divide evenly, the entries with the lowest hashes for the upstream get one request
 * more. The shares never add up to more than `total`. */
std::size_t coldShare(double total, const std::vector<vm_id>& entries, const vm_id& self, const upstream_id& upstream);

/** Limits the number of requests in a sliding window. */
class cold_rate_limiter {
public:
    /** Admits one request, or returns false when `limit` requests were admitted within the last window. */
    bool tryAcquire(std::size_t limit, time_point now);
    /** The number of requests admitted within the last window. */
    std::size_t admitted(time_point now) const;

private:
    std::deque<time_point> m_admitted;
};

} // namespace plantainlatch
