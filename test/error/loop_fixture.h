#pragma once

/** \file
 * A fixture with a real event loop for tests that use sockets; each run has a time limit.
 */

#include <functional>
#include <memory>

#include <catch2/catch.hpp>

#include "runtime/event_loop.h"

namespace plantainlatch {

class loop_fixture {
protected:
    /** Runs the loop until `done` returns true; fails the test if that takes more than three seconds. */
    void runUntil(const std::function<bool()>& done)
    {
        const time_point end = hooks.now() + std::chrono::seconds(3);
        std::function<void()> check = [&] {
            if (done() || hooks.now() > end)
                loop->stop();
            else
                hooks.schedule(std::chrono::milliseconds(1), check);
        };
        hooks.schedule(duration::zero(), check);
        loop->run();
        REQUIRE(done());
    }

    void runFor(duration span)
    {
        hooks.schedule(span, [this] { loop->stop(); });
        loop->run();
    }

    std::unique_ptr<event_loop> loop = *event_loop::create(1);
    kernel_hooks hooks = loop->hooks([](const log_event&) {});
};

} // namespace plantainlatch
