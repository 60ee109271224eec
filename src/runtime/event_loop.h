#pragma once

/** \file
 * The event loop that runs everything in a process on a single thread, with kernel hooks that use it.
 */

#include <cstdint>
#include <functional>
#include <memory>

#include "absl/status/statusor.h"
#include "kernel/hooks.h"

struct event_base;

namespace plantainlatch {

/** A libevent loop with timers, signal handlers, clocks and a random source. */
class event_loop {
public:
    /** `seed` is the seed of the random source; 0 takes a random seed from the operating system. Makes the process
     * ignore SIGPIPE. ResourceExhausted if libevent can't create a loop. */
    static absl::StatusOr<std::unique_ptr<event_loop>> create(std::uint64_t seed);
    ~event_loop();

    /** Runs until stop(). */
    void run();
    /** Makes run() return after the callback that is running now. */
    void stop();

    /** Calls `handler` from the loop on SIGTERM and SIGINT. */
    absl::Status onTerminate(std::function<void()> handler);

    /** Calls `handler` from the loop on SIGHUP, which terminates the process if no handler is set. */
    absl::Status onReload(std::function<void()> handler);

    /** Kernel hooks that use this loop, with `log` as the log hook. Messages of libevent go to the `log` of the last
     * call, too. The loop must outlive the hooks. */
    kernel_hooks hooks(std::function<void(const log_event&)> log);

    event_base* base() const;

private:
    struct implementation;
    explicit event_loop(std::unique_ptr<implementation> parts);
    std::unique_ptr<implementation> m_parts;
};

} // namespace plantainlatch
