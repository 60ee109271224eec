#include <algorithm>
#include <vector>

#include <catch2/catch.hpp>
#include <poll.h>

#include "error/loop_fixture.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    /** Timers of a real loop, which of them fired, and how long after their due times. */
    class event_loop_fixture : protected loop_fixture {
    protected:
        void schedule(duration delay)
        {
            const int number = ++scheduled;
            const time_point due = hooks.now() + delay;
            hooks.schedule(delay, [this, due, number] {
                fired.push_back(number);
                earliestEnd = std::min(earliestEnd, hooks.now() - due);
            });
        }

        static void block(duration span)
        {
            poll(nullptr, 0, static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(span).count()));
        }

        int scheduled = 0;
        std::vector<int> fired;
        /** From the due time of a timer until it fired; negative for one that fired too early. */
        duration earliestEnd = duration::max();
    };

} // namespace

/** An entry answered 504 before the time limit of the route (LOST): timers ended a tick early. */
TEST_CASE_METHOD(event_loop_fixture, "event_loop.timers_of_all_lengths.never_fire_before_they_are_due")
{
    for (duration delay = 1ms; delay < 100ms; delay += 700us)
        schedule(delay);
    runUntil([this] { return fired.size() == static_cast<std::size_t>(scheduled); });
    REQUIRE(earliestEnd >= duration::zero());
}

/** The same, as the loop counted from the begin of its round. */
TEST_CASE_METHOD(event_loop_fixture, "event_loop.timer_that_is_set_late_in_a_round.does_not_fire_before_it_is_due")
{
    hooks.schedule(1ms, [this] {
        block(20ms);
        schedule(30ms);
    });
    runUntil([this] { return fired.size() == 1; });
    REQUIRE(earliestEnd >= duration::zero());
}

TEST_CASE_METHOD(event_loop_fixture, "event_loop.timers_around_a_slow_callback.fire_in_the_order_of_their_due_times")
{
    hooks.schedule(5ms, [] { block(20ms); });
    for (duration delay = 1ms; delay < 20ms; delay += 100us)
        schedule(delay);
    runUntil([this] { return fired.size() == static_cast<std::size_t>(scheduled); });
    REQUIRE(std::is_sorted(fired.begin(), fired.end()));
}

TEST_CASE_METHOD(event_loop_fixture, "event_loop.timers_without_a_delay.fire_in_the_order_in_which_they_were_set")
{
    hooks.schedule(1ms, [this] {
        for (int i = 0; i < 8; ++i)
            schedule(duration::zero());
    });
    runUntil([this] { return fired.size() == 8; });
    REQUIRE(std::is_sorted(fired.begin(), fired.end()));
}

TEST_CASE_METHOD(event_loop_fixture, "event_loop.timer_cancelled_by_one_that_is_due_before.does_not_fire")
{
    timer_id cancelled;
    hooks.schedule(3ms, [&] {
        block(10ms);
        hooks.cancel(cancelled);
    });
    cancelled = hooks.schedule(5ms, [this] { fired.push_back(0); });
    schedule(20ms);
    runUntil([this] { return !fired.empty(); });
    REQUIRE(fired == std::vector<int> { 1 });
}

} // namespace plantainlatch
