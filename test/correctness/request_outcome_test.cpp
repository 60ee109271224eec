#include <catch2/catch.hpp>

#include "decision/request/outcome_machine.h"
#include "support/broken_invariant.h"
#include "support/request_cluster.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;
    using kind = call_behaviour::kind;

    class request_outcome_fixture {
    protected:
        void firstCallEnds(request_cluster& world, kind ends)
        {
            world.upstreams.behaviour = [&world, ends](const upstream_call&) {
                return call_behaviour { world.upstreams.calls.empty() ? ends : kind::Answer, 20ms };
            };
        }

        caller_answer answerTo(const std::string& method, kind ends)
        {
            request_cluster world(1, 1, 3, 2);
            firstCallEnds(world, ends);
            const caller_record& sent = method == "GET" ? world.get(0, "/frames/7") : world.post(0, "order");
            world.runtime.advance(11s);
            REQUIRE(sent.answers == 1);
            calls = world.upstreams.calls.size();
            return *sent.answer;
        }

        std::size_t calls = 0;
    };

} // namespace

TEST_CASE_METHOD(request_outcome_fixture, "outcome_machine.every_pair.has_a_transition_only_where_the_table_says")
{
    const invariant_catcher catcher;
    REQUIRE(nextState(attempt_state::Offered, attempt_event::Refuse) == attempt_state::Refused);
    REQUIRE_THROWS_AS(nextState(attempt_state::Offered, attempt_event::FailBeforeFirstByte), broken_invariant);
    REQUIRE_THROWS_AS(nextState(attempt_state::Lost, attempt_event::Refuse), broken_invariant);
    outcome_machine machine;
    machine.close(attempt_state::Refused);
    REQUIRE(machine.withoutAnswer() == outcome::NotRun);
    machine.close(attempt_state::Lost);
    machine.close(attempt_state::NotOffered);
    REQUIRE(machine.withoutAnswer() == outcome::Unknown);
    REQUIRE_THROWS_AS(machine.close(attempt_state::Offered), broken_invariant);
}

TEST_CASE_METHOD(request_outcome_fixture, "request.answer_of_the_upstream.is_passed_on_untouched")
{
    const caller_answer answer = answerTo("POST", kind::Answer);
    REQUIRE(answer.result == outcome::Completed);
    REQUIRE(answer.content.body == "answer to /ordersorder");
}

TEST_CASE_METHOD(request_outcome_fixture, "request.work_not_idempotent.is_sent_again_only_when_it_surely_did_not_run")
{
    for (const kind ends : { kind::ConnectFailed, kind::ConnectionLimit, kind::MarkedRefusal }) {
        REQUIRE(answerTo("POST", ends).result == outcome::Completed);
        REQUIRE(calls == 2);
    }
    for (const kind ends : { kind::BareRefusal, kind::LostRequest, kind::LostAnswer, kind::Silent, kind::Crash }) {
        REQUIRE(answerTo("POST", ends).result == outcome::Unknown);
        REQUIRE(calls == 1);
    }
}

TEST_CASE_METHOD(request_outcome_fixture, "request.idempotent_work.is_sent_again_after_any_failure")
{
    for (const kind ends : { kind::ConnectFailed, kind::MarkedRefusal, kind::BareRefusal, kind::LostRequest,
             kind::LostAnswer, kind::Silent, kind::Crash }) {
        REQUIRE(answerTo("GET", ends).result == outcome::Completed);
        REQUIRE(calls == 2);
    }
}

TEST_CASE_METHOD(request_outcome_fixture, "request.retried_without_the_retry_policy.runs_twice_and_is_found")
{
    const auto runsTwice = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.mayRetry = [](const failed_attempt&) { return true; };
        request_cluster world(1, 1, 3, 2, options);
        world.upstreams.behaviour = [](const upstream_call&) { return call_behaviour { kind::LostAnswer, 20ms }; };
        world.post(0, "order");
        world.runtime.advance(3s);
        return world.upstreams.runs["order"] > 1;
    };
    REQUIRE(breaksInvariant([&] { return runsTwice(true); }));
    REQUIRE_FALSE(breaksInvariant([&] { return runsTwice(false); }));
}

TEST_CASE_METHOD(request_outcome_fixture, "request.bare_503_taken_for_a_refusal.runs_twice")
{
    const auto runsTwice = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.isMarkedRefusal = [](const upstream_answer& answer) { return answer.status == 503; };
        request_cluster world(1, 1, 3, 2, options);
        world.upstreams.behaviour = [&](const upstream_call& call) {
            ++world.upstreams.runs[call.body]; // the upstream ran the work and then could not answer
            return call_behaviour { kind::BareRefusal, 20ms };
        };
        world.post(0, "order");
        world.runtime.advance(3s);
        return world.upstreams.runs["order"] > 1;
    };
    REQUIRE(breaksInvariant([&] { return runsTwice(true); }));
    REQUIRE_FALSE(breaksInvariant([&] { return runsTwice(false); }));
}

TEST_CASE_METHOD(request_outcome_fixture, "request.silent_connection.swallows_no_work_that_must_not_be_sent_twice")
{
    const auto lost = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.needsFreshConnection = [](const request_traits&) { return false; };
        request_cluster world(1, 1, 3, 2, options);
        world.upstreams.behaviour = [](const upstream_call& call) {
            return call_behaviour { call.freshConnection ? kind::Answer : kind::Silent, 20ms };
        };
        const caller_record& sent = world.post(0, "order");
        world.runtime.advance(3s);
        return sent.answer->result != outcome::Completed;
    };
    REQUIRE(lost(true));
    REQUIRE_FALSE(lost(false));
}

TEST_CASE_METHOD(request_outcome_fixture, "request.deadline_passed.is_unknown_after_dispatch_and_not_run_before")
{
    request_cluster world(1, 1, 1, 1);
    world.upstreams.behaviour = [](const upstream_call&) { return call_behaviour { kind::Silent, 0ms }; };
    const caller_record& dispatched = world.post(0, "first");
    const caller_record& waiting = world.post(0, "second");
    world.runtime.advance(1s);
    REQUIRE(dispatched.answer->result == outcome::Unknown);
    REQUIRE(dispatched.answer->reason == answer_reason::DeadlineExceeded);
    REQUIRE(waiting.answer->result == outcome::NotRun);
    REQUIRE(world.upstreams.calls.size() == 1);
}

TEST_CASE_METHOD(request_outcome_fixture, "request.caller_left.cancels_the_call_and_frees_the_slot_after_the_work")
{
    const auto overlaps = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.keepsSlotBusy = [](attempt_ending) { return false; };
        request_cluster world(1, 1, 1, 1, options);
        world.upstreams.behaviour = [](const upstream_call&) { return call_behaviour { kind::Answer, 100ms }; };
        const caller_record& left = world.post(0, "first");
        const caller_record& waiting = world.post(0, "second");
        world.runtime.advance(50ms);
        world.entries[0].port->cancel(left.id);
        REQUIRE(world.upstreams.calls.front().cancelled);
        world.runtime.advance(1s);
        REQUIRE(left.answers == 0);
        REQUIRE(waiting.answers == 1);
        return world.upstreams.mostRunning > 1;
    };
    REQUIRE(overlaps(true));
    REQUIRE_FALSE(overlaps(false));
}

} // namespace plantainlatch
