#pragma once

/** \file
 * Read barriers of the log that many requests share, so that their number doesn't grow with that of the requests.
 */

#include <cstdint>
#include <functional>
#include <memory>

#include "core/clock.h"
#include "kernel/hooks.h"
#include "ports/consensus_port.h"

namespace plantainlatch {

/** Starts read barriers one after another while there are requests for them. */
class shared_read_barrier : public std::enable_shared_from_this<shared_read_barrier> {
public:
    /** Called at the end of each barrier with its number. */
    using end_handler = std::function<void(std::uint64_t number, const absl::Status& status)>;

    /** `interval` is the minimum time between the starts of two barriers; each costs a command of the log. */
    static std::shared_ptr<shared_read_barrier> create(
        const kernel_hooks& hooks, consensus_port& consensus, duration interval, duration timeout, end_handler onEnd);

    /** Returns the number of a barrier that starts after this call. */
    std::uint64_t join();

private:
    shared_read_barrier(
        const kernel_hooks& hooks, consensus_port& consensus, duration interval, duration timeout, end_handler onEnd);

    void schedule();
    void begin();
    void end(const absl::Status& status);

    kernel_hooks m_hooks;
    consensus_port& m_consensus;
    duration m_interval;
    duration m_timeout;
    end_handler m_onEnd;
    /** The number of the next barrier. */
    std::uint64_t m_next = 1;
    time_point m_earliestStart {};
    /** Whether a barrier is scheduled or in progress. */
    bool m_active = false;
    /** Whether the next barrier is needed. */
    bool m_joined = false;
};

} // namespace plantainlatch
