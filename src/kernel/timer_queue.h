#pragma once

/** \file
 * Timers in the order in which they are due.
 */

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "core/clock.h"
#include "kernel/hooks.h"

namespace plantainlatch {

/** Holds timers until they are due; it has no clock of its own. Timers with equal due times keep the order in which
 * they were added. */
class timer_queue {
public:
    timer_id add(time_point due, std::function<void()> fire);
    /** Has no effect on a timer that was taken or cancelled. */
    void cancel(timer_id timer);

    /** When the first timer is due; none if there are no timers. */
    std::optional<time_point> nextDue() const;
    /** The timer that was added last. */
    timer_id last() const { return timer_id(m_last); }
    /** Removes the first timer if it is due at `now` and was not added after `last`. Returns what to call, or an empty
     * function. */
    std::function<void()> takeDue(time_point now, timer_id last);

private:
    using position = std::pair<time_point, std::uint64_t>;

    std::uint64_t m_last = 0;
    std::map<position, std::function<void()>> m_timers;
    absl::flat_hash_map<std::uint64_t, time_point> m_dueTimes;
};

} // namespace plantainlatch
