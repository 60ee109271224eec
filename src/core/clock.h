#pragma once

/** \file
 * The types of time: every signature that holds a time uses one of these.
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

/** A moment on one VM's monotonic clock; moments of two VMs cannot be compared. */
using time_point = runtime_clock::time_point;

/** A moment on the wall clock, as stamped by the leader into log entries and shown to people. */
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/** A span times a factor. */
inline duration scaled(duration span, double factor)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::nano>(span) * factor);
}

} // namespace plantainlatch
