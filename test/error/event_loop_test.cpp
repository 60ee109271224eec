#include <algorithm>

#include <catch2/catch.hpp>
#include <poll.h>

#include "error/loop_fixture.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    /** Timers of a real loop, and by how much they fire too early or late. */
    class event_loop_fixture : protected loop_fixture {
    protected:
        void schedule(duration delay)
        {
            ++pending;
            const time_point due = hooks.now() + delay;
            hooks.schedule(delay, [this, due] {
                --pending;
                shortestDelay = std::min(shortestDelay, hooks.now() - due);
            });
        }

        static void block(duration span)
        {
            poll(nullptr, 0, static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(span).count()));
        }

        int pending = 0;
        /** From the due time of a timer until it fired; negative for one that fired too early. */
        duration shortestDelay = duration::max();
    };

} // namespace

/** An entry answered 504 before the time limit of the route (LOST): timers ended a tick early. */
TEST_CASE_METHOD(event_loop_fixture, "event_loop.timers_of_all_lengths.never_fire_before_they_are_due")
{
    for (duration delay = 1ms; delay < 100ms; delay += 700us)
        schedule(delay);
    runUntil([this] { return pending == 0; });
    REQUIRE(shortestDelay >= duration::zero());
}

/** The same, as the loop counted from the begin of its round. */
TEST_CASE_METHOD(event_loop_fixture, "event_loop.timer_that_is_set_late_in_a_round.does_not_fire_before_it_is_due")
{
    hooks.schedule(1ms, [this] {
        block(20ms);
        schedule(30ms);
    });
    runFor(5ms);
    runUntil([this] { return pending == 0; });
    REQUIRE(shortestDelay >= duration::zero());
}

} // namespace plantainlatch
