#pragma once

/** \file
 * Limits the rates of all shifts on one VM, and counts their requests for the reports to the leader.
 */

#include <cstddef>
#include <map>
#include <vector>

#include "decision/shifts/shift_quota_allocator.h"
#include "decision/shifts/shift_rate_limiter.h"
#include "model/configuration.h"
#include "model/control_message.h"

namespace plantainlatch {

/** The rate limiters of all shifts on this VM. */
class shift_limiters {
public:
    explicit shift_limiters(shift_cap_options options)
        : m_options(options)
    {
    }

    /** Adopts new definitions: drops shifts that are no longer defined, and clears the quotas of changed ones. */
    void update(const std::map<shift_id, shift_definition>& definitions);

    /** Adopts the quotas in the leader's answer to a heartbeat that was sent at `sentAt`. Quotas above the cap are
     * ignored, since they were granted under another definition. */
    void receive(const heartbeat_answer& answer, time_point sentAt);

    /** Admits one request to the shift's target if the quota allows it; false for an unknown shift. */
    bool tryAcquire(const shift_id& shift, time_point now);

    /** Returns the request counts of each shift and resets them. */
    std::vector<shift_usage> takeUsage(time_point now);

private:
    struct limited_shift {
        shift_definition definition;
        shift_rate_limiter limiter;
        std::uint64_t admitted = 0;
        std::uint64_t requested = 0;
    };

    shift_cap_options m_options;
    std::map<shift_id, limited_shift> m_shifts;
};

} // namespace plantainlatch
