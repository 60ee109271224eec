#include <catch2/catch.hpp>

#include "decision/request/outcome_tracker.h"
#include "decision/vm/routed_vm.h"
#include "support/broken_invariant.h"
#include "support/request_cluster.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;
    using kind = call_behaviour::kind;

    class request_outcome_fixture {
    protected:
        void setFirstCallEnd(request_cluster& cluster, kind ends)
        {
            cluster.upstreams.behaviour = [&cluster, ends](const upstream_call&) {
                return call_behaviour { cluster.upstreams.calls.empty() ? ends : kind::Answer, 20ms };
            };
        }

        caller_answer answerTo(const std::string& method, kind ends)
        {
            request_cluster cluster(1, 1, 3, 2);
            setFirstCallEnd(cluster, ends);
            const caller_record& sent = method == "GET" ? cluster.get(0, "/frames/7") : cluster.post(0, "order");
            cluster.runtime.advance(11s);
            REQUIRE(sent.answers == 1);
            calls = cluster.upstreams.calls.size();
            return *sent.answer;
        }

        std::size_t calls = 0;
    };

} // namespace

TEST_CASE_METHOD(request_outcome_fixture, "outcome_tracker.attempt_events.follow_the_transition_table")
{
    const invariant_catcher catcher;
    REQUIRE(nextState(attempt_state::Offered, attempt_event::Refuse) == attempt_state::Refused);
    REQUIRE_THROWS_AS(nextState(attempt_state::Offered, attempt_event::FailBeforeDispatch), broken_invariant);
    REQUIRE_THROWS_AS(nextState(attempt_state::Lost, attempt_event::Refuse), broken_invariant);
    outcome_tracker tracker;
    tracker.recordEnd(attempt_state::Refused);
    REQUIRE(tracker.outcomeWithoutAnswer() == outcome::NotRun);
    tracker.recordEnd(attempt_state::Lost);
    tracker.recordEnd(attempt_state::NotOffered);
    REQUIRE(tracker.outcomeWithoutAnswer() == outcome::Unknown);
    REQUIRE_THROWS_AS(tracker.recordEnd(attempt_state::Offered), broken_invariant);
}

// Guards against a copy of the body for each attempt, which let a few long bodies use several times their size.
TEST_CASE_METHOD(request_outcome_fixture, "request.body.is_shared_by_all_attempts")
{
    request_cluster cluster(1, 1, 3, 2);
    setFirstCallEnd(cluster, kind::ConnectFailed);
    caller_request request;
    request.method = "POST";
    request.target = "/orders";
    request.body = std::string(1000, 'x');
    const char* original = request.body.bytes().data();
    cluster.send(0, std::move(request));
    cluster.runtime.advance(1s);
    REQUIRE(cluster.upstreams.calls.size() == 2);
    for (const auto& seen : cluster.upstreams.calls)
        REQUIRE(seen.call.body.bytes().data() == original);
}

TEST_CASE_METHOD(request_outcome_fixture, "request.answer_of_the_upstream.is_passed_on_unchanged")
{
    const caller_answer answer = answerTo("POST", kind::Answer);
    REQUIRE(answer.result == outcome::Completed);
    REQUIRE(answer.content.body == "answer to /ordersorder");
}

TEST_CASE_METHOD(request_outcome_fixture, "request.not_idempotent.is_retried_only_if_it_definitely_did_not_run")
{
    for (const kind ends : { kind::ConnectFailed, kind::ConnectionLimit, kind::MarkedRefusal }) {
        REQUIRE(answerTo("POST", ends).result == outcome::Completed);
        REQUIRE(calls == 2);
    }
    for (const kind ends : { kind::UnmarkedRefusal, kind::LostRequest, kind::LostAnswer, kind::MalformedAnswer,
             kind::OtherAnswer, kind::Silent, kind::Crash }) {
        REQUIRE(answerTo("POST", ends).result == outcome::Unknown);
        REQUIRE(calls == 1);
    }
}

TEST_CASE_METHOD(request_outcome_fixture, "request.idempotent.is_retried_after_any_failure_but_an_unusable_answer")
{
    for (const kind ends : { kind::ConnectFailed, kind::MarkedRefusal, kind::UnmarkedRefusal, kind::LostRequest,
             kind::LostAnswer, kind::OtherAnswer, kind::Silent, kind::Crash }) {
        REQUIRE(answerTo("GET", ends).result == outcome::Completed);
        REQUIRE(calls == 2);
    }
}

// Guards against a caller that waits for a second run although its request has run to its end.
TEST_CASE_METHOD(request_outcome_fixture, "request.idempotent_with_a_malformed_answer.gets_502_at_once")
{
    const caller_answer answer = answerTo("GET", kind::MalformedAnswer);
    REQUIRE(answer.content.status == 502);
    REQUIRE(answer.reason == answer_reason::ConnectionLost);
    REQUIRE(calls == 1);
}

TEST_CASE_METHOD(request_outcome_fixture, "request.retried_without_the_retry_policy.runs_twice_and_is_detected")
{
    const auto runsTwice = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.mayRetry = [](const failed_attempt&) { return true; };
        request_cluster cluster(1, 1, 3, 2, options);
        cluster.upstreams.behaviour = [](const upstream_call&) { return call_behaviour { kind::LostAnswer, 20ms }; };
        cluster.post(0, "order");
        cluster.runtime.advance(3s);
        return cluster.upstreams.runs["order"] > 1;
    };
    REQUIRE(breaksInvariant([&] { return runsTwice(true); }));
    REQUIRE_FALSE(breaksInvariant([&] { return runsTwice(false); }));
}

TEST_CASE_METHOD(request_outcome_fixture, "request.unmarked_503_treated_as_a_refusal.runs_twice")
{
    const auto runsTwice = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.isMarkedRefusal = [](const upstream_answer& answer) { return answer.status == 503; };
        request_cluster cluster(1, 1, 3, 2, options);
        cluster.upstreams.behaviour = [&](const upstream_call& call) {
            ++cluster.upstreams.runs[call.body.bytes()]; // the upstream ran the request before it answered 503
            return call_behaviour { kind::UnmarkedRefusal, 20ms };
        };
        cluster.post(0, "order");
        cluster.runtime.advance(3s);
        return cluster.upstreams.runs["order"] > 1;
    };
    REQUIRE(breaksInvariant([&] { return runsTwice(true); }));
    REQUIRE_FALSE(breaksInvariant([&] { return runsTwice(false); }));
}

TEST_CASE_METHOD(request_outcome_fixture,
    "request.unmarked_refusal_of_a_routed_request_that_is_not_idempotent.is_not_answered_with_its_status")
{
    const int status = GENERATE(408, 429, 503);
    request_cluster cluster(1, 1, 3, 2, routedOptionsFor({}).requests);
    cluster.upstreams.behaviour = [status](const upstream_call&) {
        return call_behaviour { kind::UnmarkedRefusal, 20ms, status };
    };
    const caller_record& sent = cluster.post(0, "order");
    cluster.runtime.advance(3s);
    REQUIRE(cluster.upstreams.calls.size() == 1);
    REQUIRE(sent.answer->result == outcome::Unknown);
    REQUIRE(sent.answer->content.status == 502);
    REQUIRE(sent.answer->content.body.empty());
}

TEST_CASE_METHOD(request_outcome_fixture,
    "request.crash_of_a_routed_request_that_is_not_idempotent.is_never_answered_with_a_promise_that_it_did_not_run")
{
    request_cluster cluster(1, 1, 12, 2, routedOptionsFor({}).requests);
    cluster.upstreams.behaviour = [](const upstream_call&) { return call_behaviour { kind::Crash, 20ms }; };
    int refusals = 0;
    for (std::size_t i = 0; i < 6; ++i) {
        const std::size_t callsBefore = cluster.upstreams.calls.size();
        const caller_record& sent = cluster.post(0, "order");
        cluster.runtime.advance(3s);
        const bool wasSent = cluster.upstreams.calls.size() > callsBefore;
        CAPTURE(i, wasSent);
        REQUIRE(sent.answer->result == (wasSent ? outcome::Unknown : outcome::NotRun));
        REQUIRE(sent.answer->content.status == (wasSent ? 502 : 503));
        refusals += wasSent ? 0 : 1;
    }
    REQUIRE(refusals > 0);
}

TEST_CASE_METHOD(request_outcome_fixture, "request.refused_and_sent_again_to_the_same_address.uses_a_new_connection")
{
    routed_bounds bounds;
    bounds.retryWindow = 10s;
    bounds.retrySlack = 10;
    request_cluster cluster(1, 1, 1, 2, routedOptionsFor(bounds).requests);
    setFirstCallEnd(cluster, kind::MarkedRefusal);
    const caller_record& sent = cluster.post(0, "order");
    cluster.runtime.advance(3s);
    REQUIRE(sent.answer->result == outcome::Completed);
    REQUIRE(cluster.upstreams.calls.size() == 2);
    REQUIRE_FALSE(cluster.upstreams.calls[0].call.freshConnection);
    REQUIRE(cluster.upstreams.calls[1].call.freshConnection);
}

TEST_CASE_METHOD(
    request_outcome_fixture, "request.idle_connection_is_dead.is_sent_on_a_new_connection_if_not_idempotent")
{
    const auto lost = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.needsFreshConnection = [](const request_traits&) { return false; };
        request_cluster cluster(1, 1, 3, 2, options);
        cluster.upstreams.behaviour = [](const upstream_call& call) {
            return call_behaviour { call.freshConnection ? kind::Answer : kind::Silent, 20ms };
        };
        const caller_record& sent = cluster.post(0, "order");
        cluster.runtime.advance(3s);
        return sent.answer->result != outcome::Completed;
    };
    REQUIRE(lost(true));
    REQUIRE_FALSE(lost(false));
}

TEST_CASE_METHOD(request_outcome_fixture, "request.deadline_passed.is_unknown_after_dispatch_and_not_run_before")
{
    request_cluster cluster(1, 1, 1, 1);
    cluster.upstreams.behaviour = [](const upstream_call&) { return call_behaviour { kind::Silent, 0ms }; };
    const caller_record& dispatched = cluster.post(0, "first");
    const caller_record& waiting = cluster.post(0, "second");
    cluster.runtime.advance(1s);
    REQUIRE(dispatched.answer->result == outcome::Unknown);
    REQUIRE(dispatched.answer->reason == answer_reason::DeadlineExceeded);
    REQUIRE(waiting.answer->result == outcome::NotRun);
    REQUIRE(cluster.upstreams.calls.size() == 1);
}

TEST_CASE_METHOD(request_outcome_fixture, "request.slot_revoked_before_dispatch.is_sent_to_another_upstream_at_once")
{
    request_cluster cluster(1, 1, 3, 2);
    cluster.upstreams.behaviour = [&cluster](const upstream_call&) {
        return cluster.upstreams.calls.empty() ? call_behaviour { kind::ConnectFailed, 500ms } : call_behaviour();
    };
    const caller_record& sent = cluster.post(0, "order");
    cluster.runtime.advance(100ms);
    cluster.upstreams.revokeSlots();
    cluster.runtime.advance(100ms);
    REQUIRE(sent.answers == 1);
    REQUIRE(sent.answer->result == outcome::Completed);
    REQUIRE(cluster.upstreams.calls.size() == 2);
    REQUIRE(cluster.upstreams.calls.front().cancelled);
    REQUIRE(cluster.upstreams.calls[0].call.upstream != cluster.upstreams.calls[1].call.upstream);
    REQUIRE(cluster.upstreams.released.front().ended == slot_result::kind::Unused);
}

TEST_CASE_METHOD(request_outcome_fixture, "request.slot_revoked_after_dispatch.is_answered_by_its_upstream")
{
    request_cluster cluster(1, 1, 3, 2);
    cluster.upstreams.behaviour = [](const upstream_call&) { return call_behaviour { kind::Answer, 200ms }; };
    const caller_record& sent = cluster.post(0, "order");
    cluster.runtime.advance(100ms);
    cluster.upstreams.revokeSlots();
    cluster.runtime.advance(200ms);
    REQUIRE(sent.answers == 1);
    REQUIRE(sent.answer->result == outcome::Completed);
    REQUIRE(cluster.upstreams.calls.size() == 1);
}

TEST_CASE_METHOD(
    request_outcome_fixture, "request.caller_left.cancels_the_call_and_frees_the_slot_when_the_work_has_ended")
{
    const auto overlaps = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.keepsSlotBusy = [](attempt_termination) { return false; };
        request_cluster cluster(1, 1, 1, 1, options);
        cluster.upstreams.behaviour = [](const upstream_call&) { return call_behaviour { kind::Answer, 100ms }; };
        const caller_record& abandoned = cluster.post(0, "first");
        const caller_record& waiting = cluster.post(0, "second");
        cluster.runtime.advance(50ms);
        cluster.entries[0].port->cancel(abandoned.id);
        REQUIRE(cluster.upstreams.calls.front().cancelled);
        cluster.runtime.advance(1s);
        REQUIRE(abandoned.answers == 0);
        REQUIRE(waiting.answers == 1);
        return cluster.upstreams.peakRunning > 1;
    };
    REQUIRE(overlaps(true));
    REQUIRE_FALSE(overlaps(false));
}

} // namespace plantainlatch
