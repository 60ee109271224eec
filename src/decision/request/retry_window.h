#pragma once

/** \file
 * The budget of retries within a sliding window, for each service.
 */

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "core/clock.h"
#include "core/ids.h"

namespace plantainlatch {

/** The bound on retries. */
struct retry_window_options {
    duration window = std::chrono::seconds(10);
    /** Retries in the window, as a share of its requests. */
    double share = 0.2;
    /** Retries in the window beyond that share, from all VMs together. */
    double slack = 0;
};

/** Counts requests and retries of each service in the window. */
class retry_window {
public:
    explicit retry_window(retry_window_options options);

    /** A request of a service came for the first time. */
    void earn(const service_id& service, time_point now);
    /** Takes one retry; false when the window holds as many as it may. `sharers` VMs have equal parts of the slack. */
    bool spend(const service_id& service, time_point now, std::size_t sharers);
    /** How many retries this VM may still spend now. */
    double left(const service_id& service, time_point now, std::size_t sharers) const;

private:
    struct counts {
        time_point begin;
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };

    counts& current(const service_id& service, time_point now);

    retry_window_options m_options;
    std::map<service_id, std::deque<counts>> m_slices;
};

} // namespace plantainlatch
