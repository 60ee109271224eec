#pragma once

/** \file
 * The time types; every signature that holds a time uses one of them.
 */

#include <chrono>

namespace plantainlatch {

/** The monotonic clock of one VM. It has no now(): the time comes from kernel_hooks, which tests pause and advance. */
struct runtime_clock {
    using rep = std::chrono::nanoseconds::rep;
    using period = std::chrono::nanoseconds::period;
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<runtime_clock>;
    static constexpr bool is_steady = true;
};

/** A span of time, in nanoseconds. */
using duration = runtime_clock::duration;

/** A point in time on one VM's monotonic clock; values of different VMs cannot be compared. */
using time_point = runtime_clock::time_point;

/** A point in time on the wall clock, as the leader writes it into log entries and as it is shown to operators. */
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

inline duration scaled(duration span, double factor)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::nano>(span) * factor);
}

} // namespace plantainlatch
