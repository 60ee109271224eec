#pragma once

/** \file
 * A retry budget for each service: retries are limited to a share of the requests within a sliding window.
 */

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "core/clock.h"
#include "core/ids.h"

namespace plantainlatch {

/** Settings of the retry budget. */
struct retry_window_options {
    duration window = std::chrono::seconds(10);
    /** Allowed retries per request in the window. */
    double share = 0.2;
    /** Retries that are allowed in the window in addition to the share, over all VMs; each VM gets an equal part. */
    double slack = 0;
};

/** Counts the requests and retries of each service and limits the retries. */
class retry_window {
public:
    explicit retry_window(retry_window_options options);

    /** Counts a new request; retries and hedges are not counted here. */
    void recordRequest(const service_id& service, time_point now);
    /** Charges one retry; returns false if the budget of the window is exhausted. The slack is divided among `vmCount`
     * VMs. */
    bool tryAcquire(const service_id& service, time_point now, std::size_t vmCount);
    /** The number of retries that this VM may still make now. It may be fractional, and is negative if the budget fell
     * below the number of retries already made in the window. */
    double remaining(const service_id& service, time_point now, std::size_t vmCount) const;

private:
    struct slice_counts {
        time_point begin;
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };

    slice_counts& current(const service_id& service, time_point now);

    retry_window_options m_options;
    std::map<service_id, std::deque<slice_counts>> m_slices;
};

} // namespace plantainlatch
