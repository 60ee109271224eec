#pragma once

/** \file
 * A simulated clock with a timer queue, which tests advance explicitly. Several simulated VMs may share one.
 */

#include <cstdint>
#include <functional>
#include <random>
#include <vector>

#include "core/clock.h"
#include "kernel/hooks.h"
#include "kernel/timer_queue.h"

namespace plantainlatch {

/** Virtual time: timers fire in the order of their times, and those of equal times in the order of scheduling. */
class paused_runtime {
public:
    explicit paused_runtime(std::uint64_t seed);

    /** Hooks that use this clock and append log lines to `logLines`. */
    kernel_hooks hooks();

    time_point now() const { return m_now; }
    timer_id schedule(duration delay, std::function<void()> fire);
    void cancel(timer_id timer);
    std::uint64_t random() { return m_random(); }

    /** Fires all timers due within `span` and advances the clock by it. */
    void advance(duration span);
    /** Advances the clock to the earliest timer and fires it; returns false if there is none. */
    bool step();

    std::vector<log_event> logLines;

private:
    time_point m_now {};
    timer_queue m_timers;
    std::mt19937_64 m_random;
};

} // namespace plantainlatch
