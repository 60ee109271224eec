#pragma once

/** \file
 * The hooks through which the kernel and its services use timers, clocks, random numbers and logging.
 */

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/strong_id.h"

namespace plantainlatch {

/** Identifies a scheduled timer; 0 is none. */
using timer_id = strong_number<struct timer_tag>;

enum class log_level { Debug, Info, Warning, Error };

/** One named value of a log line. */
struct log_field {
    std::string name;
    std::string value;
};

/** One structured log line. */
struct log_event {
    log_level level = log_level::Info;
    std::string service;
    std::string what;
    std::vector<log_field> fields;
};

/** All access of the kernel and its services to their environment, so that tests can simulate it. */
struct kernel_hooks {
    /** The monotonic time of this VM. */
    std::function<time_point()> now;
    /** The wall clock of this VM; it may jump. */
    std::function<wall_time()> wallNow;
    /** Calls `fire` once on the event loop after `delay`, never earlier by `now`; a negative delay counts as 0. Timers
     * are called in the order in which they are due, and those with equal times in the order in which they were set. */
    std::function<timer_id(duration delay, std::function<void()> fire)> schedule;
    /** Cancels a timer; has no effect on one that has fired or was cancelled. */
    std::function<void(timer_id)> cancel;
    /** 64 uniformly distributed bits from a seeded generator. */
    std::function<std::uint64_t()> random;
    /** Writes one log line. */
    std::function<void(const log_event&)> log;
};

} // namespace plantainlatch
