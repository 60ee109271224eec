#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "decision/request/outcome_tracker.h"
#include "support/broken_invariant.h"

namespace plantainlatch {

namespace {

    class outcome_property_fixture {
    protected:
        static attempt_event anyEvent()
        {
            return static_cast<attempt_event>(*rc::gen::inRange(0, static_cast<int>(attempt_event::Lose) + 1));
        }

        /** Applies random events to an attempt and skips those that are invalid in its state. Returns whether the first
         * byte was offered. */
        static bool applyRandomEvents(attempt_state& state, int steps)
        {
            bool offered = false;
            for (int i = 0; i < steps; ++i) {
                const attempt_event event = anyEvent();
                attempt_state next = state;
                if (breaksInvariant([&] {
                        next = nextState(state, event);
                        return false;
                    }))
                    continue;
                state = next;
                offered = offered || state == attempt_state::Offered;
            }
            return offered;
        }
    };

} // namespace

TEST_CASE_METHOD(
    outcome_property_fixture, "outcome.any_events_after_the_first_byte.give_not_run_only_for_a_marked_refusal")
{
    REQUIRE(rc::check("one attempt", [] {
        attempt_state state = attempt_state::Prepared;
        const bool offered = applyRandomEvents(state, *rc::gen::inRange(0, 12));
        if (offered && state != attempt_state::Refused)
            RC_ASSERT(!definitelyNotRun(state) || state == attempt_state::Prepared);
        if (state == attempt_state::Lost || state == attempt_state::Answered)
            RC_ASSERT(!definitelyNotRun(state));
    }));
}

TEST_CASE_METHOD(outcome_property_fixture, "outcome.several_attempts.give_not_run_only_if_none_may_have_run")
{
    REQUIRE(rc::check("attempts of one request", [] {
        outcome_tracker tracker;
        bool mayHaveRun = false;
        const int attempts = *rc::gen::inRange(0, 6);
        for (int i = 0; i < attempts; ++i) {
            attempt_state state = attempt_state::Prepared;
            applyRandomEvents(state, *rc::gen::inRange(1, 12));
            if (state == attempt_state::Prepared || state == attempt_state::Offered)
                continue;
            tracker.recordEnd(state);
            mayHaveRun = mayHaveRun || state == attempt_state::Lost || state == attempt_state::Answered;
        }
        RC_ASSERT(tracker.outcomeWithoutAnswer() == (mayHaveRun ? outcome::Unknown : outcome::NotRun));
    }));
}

} // namespace plantainlatch
