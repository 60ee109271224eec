#pragma once

/** \file
 * One VM's side of the shifts: what it may spend of their caps, and what it spent.
 */

#include <cstddef>
#include <map>
#include <vector>

#include "decision/shifts/shift_quota_allocator.h"
#include "decision/shifts/shift_rate_limiter.h"
#include "model/configuration.h"
#include "model/control_message.h"

namespace plantainlatch {

/** The pacers of all shifts on this VM. */
class shift_limiters {
public:
    explicit shift_limiters(shift_cap_options options)
        : m_options(options)
    {
    }

    /** Forgets shifts that are gone, and ends the allowances of those that changed. */
    void follow(const std::map<shift_id, shift_definition>& definitions);

    /** The leader's answer to a heartbeat that was sent then. */
    void receive(const heartbeat_answer& answer, time_point sentAt);

    /** Takes one request out of the allowance; false also for an unknown shift. */
    bool tryAcquire(const shift_id& shift, time_point now);

    /** What was spent since the last call. */
    std::vector<shift_usage> takeUsage(time_point now);

private:
    struct spending {
        shift_definition definition;
        shift_rate_limiter pacer;
        std::uint64_t admitted = 0;
        std::uint64_t requested = 0;
    };

    shift_cap_options m_options;
    std::map<shift_id, spending> m_shifts;
};

} // namespace plantainlatch
