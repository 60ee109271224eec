#pragma once

/** \file
 * The one loop on the one thread of a process, and kernel hooks on it.
 */

#include <cstdint>
#include <functional>
#include <memory>

#include "absl/status/statusor.h"
#include "kernel/hooks.h"

struct event_base;

namespace plantainlatch {

/** A libevent loop with timers, signals and the process's clocks. */
class event_loop {
public:
    /** `seed` feeds the random source; 0 takes one from the operating system. */
    static absl::StatusOr<std::unique_ptr<event_loop>> create(std::uint64_t seed);
    ~event_loop();

    /** Runs until stop(). */
    void run();
    /** Ends run() after the callbacks that are due now. */
    void stop();

    /** Calls `handler` on the loop for SIGTERM and SIGINT. */
    absl::Status onTerminate(std::function<void()> handler);

    /** Calls `handler` on the loop for SIGHUP, which otherwise ends the process. */
    absl::Status onReload(std::function<void()> handler);

    /** Hooks on this loop, with `log` as the log hook. */
    kernel_hooks hooks(std::function<void(const log_event&)> log);

    event_base* base() const;

private:
    struct implementation;
    explicit event_loop(std::unique_ptr<implementation> parts);
    std::unique_ptr<implementation> m_parts;
};

} // namespace plantainlatch
