#include <catch2/catch.hpp>

#include "support/broken_invariant.h"
#include "support/request_cluster.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;
    using kind = call_behaviour::kind;

    class request_key_fixture {
    protected:
        static call_behaviour slowAnswer(const upstream_call&) { return { kind::Answer, 100ms }; }

        static const key_record* record(const request_cluster& cluster, const std::string& key)
        {
            const auto found = cluster.log.state.keys.find({ service_id("taller"), idempotency_key(key) });
            return found != cluster.log.state.keys.end() ? &found->second : nullptr;
        }

        request_cluster cluster { 1, 2, 3, 2 };
    };

} // namespace

TEST_CASE_METHOD(request_key_fixture, "key.resent_to_another_entry.is_in_progress_and_later_replayed")
{
    const auto runsTwice = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.claimsKey = [](const request_traits&) { return false; };
        request_cluster trial(1, 2, 3, 2, options);
        trial.upstreams.behaviour = slowAnswer;
        const caller_record& first = trial.post(0, "order", "k");
        trial.runtime.advance(50ms);
        const caller_record& beforeAnswer = trial.post(1, "order", "k");
        trial.runtime.advance(200ms);
        const caller_record& afterAnswer = trial.post(1, "order", "k");
        trial.runtime.advance(200ms);
        REQUIRE(first.answer->result == outcome::Completed);
        if (!broken) {
            REQUIRE(beforeAnswer.answer->result == outcome::InProgress);
            REQUIRE(afterAnswer.answer->result == outcome::Replayed);
            REQUIRE(afterAnswer.answer->content.body == first.answer->content.body);
        }
        return trial.upstreams.runs["order"] > 1;
    };
    REQUIRE(runsTwice(true));
    REQUIRE_FALSE(runsTwice(false));
}

TEST_CASE_METHOD(request_key_fixture, "key.used_with_another_body.is_refused_as_reused")
{
    cluster.post(0, "order", "k");
    cluster.runtime.advance(200ms);
    const caller_record& other = cluster.post(1, "other", "k");
    cluster.runtime.advance(200ms);
    REQUIRE(other.answer->content.status == 422);
    REQUIRE(other.answer->reason == answer_reason::KeyReused);
    REQUIRE(cluster.upstreams.runs.count("other") == 0);
}

TEST_CASE_METHOD(request_key_fixture, "key.answer_lost.stays_unknown_at_every_entry")
{
    cluster.upstreams.behaviour = [](const upstream_call&) { return call_behaviour { kind::LostAnswer, 20ms }; };
    cluster.post(0, "order", "k");
    cluster.runtime.advance(2s);
    const caller_record& again = cluster.post(1, "order", "k");
    cluster.runtime.advance(2s);
    REQUIRE(again.answer->result == outcome::Unknown);
    REQUIRE(again.answer->reason == answer_reason::KeyTaken);
    REQUIRE(cluster.upstreams.runs["order"] == 1);
}

TEST_CASE_METHOD(request_key_fixture, "key.request_not_run.is_freed_for_a_resend")
{
    cluster.upstreams.behaviour = [](const upstream_call&) { return call_behaviour { kind::MarkedRefusal, 20ms }; };
    const caller_record& refused = cluster.post(0, "order", "k");
    cluster.runtime.advance(1s);
    REQUIRE(refused.answer->result == outcome::NotRun);
    REQUIRE(record(cluster, "k") == nullptr);
    cluster.upstreams.behaviour = slowAnswer;
    const caller_record& again = cluster.post(1, "order", "k");
    cluster.runtime.advance(1s);
    REQUIRE(again.answer->result == outcome::Completed);
}

TEST_CASE_METHOD(
    request_key_fixture, "key.claim_applied_after_its_timeout.is_released_and_its_request_never_dispatched")
{
    const auto staysClaimed = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.releasesLateClaims = [] { return false; };
        request_cluster trial(1, 2, 3, 2, options);
        trial.entries[0].log->behaviour = [](const control_command& command) {
            return proposal_behaviour { std::holds_alternative<claim_key>(command) ? 3000ms : 2ms };
        };
        const caller_record& first = trial.post(0, "order", "k");
        trial.runtime.advance(1s);
        REQUIRE(first.answer->result == outcome::Unknown);
        trial.runtime.advance(4s);
        REQUIRE(trial.upstreams.calls.empty());
        const caller_record& again = trial.post(1, "order", "k");
        trial.runtime.advance(2s);
        return again.answer->result != outcome::Completed;
    };
    REQUIRE(staysClaimed(true));
    REQUIRE_FALSE(staysClaimed(false));
}

TEST_CASE_METHOD(request_key_fixture, "key.resent_to_an_entry_without_the_log.is_not_reported_as_not_run")
{
    const auto reportsNotRun = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.unresolvedOutcome = [](const request_traits&) { return outcome::NotRun; };
        request_cluster trial(1, 2, 3, 2, options);
        const control_snapshot stale = trial.log.state;
        trial.post(0, "order", "k");
        trial.runtime.advance(1s);
        REQUIRE(trial.upstreams.runs["order"] == 1);
        trial.entries[1].log->control.state = [&stale]() -> const control_snapshot& { return stale; };
        trial.entries[1].log->behaviour = [](const control_command&) { return proposal_behaviour { 0ms, false }; };
        const caller_record& again = trial.post(1, "order", "k");
        trial.runtime.advance(2s);
        return again.answer->result == outcome::NotRun;
    };
    REQUIRE(reportsNotRun(true));
    REQUIRE_FALSE(reportsNotRun(false));
}

TEST_CASE_METHOD(request_key_fixture,
    "key.entry_crashed_while_holding_the_claim.is_in_progress_and_then_unknown_and_never_runs_again")
{
    cluster.upstreams.behaviour = slowAnswer;
    cluster.post(0, "order", "k");
    cluster.runtime.advance(50ms);
    cluster.kill(0);
    cluster.start(0);
    const caller_record& beforeRunLimit = cluster.post(0, "order", "k");
    cluster.runtime.advance(2s);
    const caller_record& afterRunLimit = cluster.post(1, "order", "k");
    cluster.runtime.advance(2s);
    REQUIRE(beforeRunLimit.answer->result == outcome::InProgress);
    REQUIRE(afterRunLimit.answer->result == outcome::Unknown);
    REQUIRE(cluster.upstreams.runs["order"] == 1);
}

TEST_CASE_METHOD(request_key_fixture, "key.caller_left_after_dispatch.request_continues_and_a_resend_gets_its_answer")
{
    const auto losesAnswer = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.continuesWithoutCaller = [](const request_traits&) { return false; };
        request_cluster trial(1, 2, 3, 2, options);
        trial.upstreams.behaviour = slowAnswer;
        const caller_record& abandoned = trial.post(0, "order", "k");
        trial.runtime.advance(50ms);
        trial.entries[0].port->cancel(abandoned.id);
        trial.runtime.advance(1s);
        const caller_record& again = trial.post(1, "order", "k");
        trial.runtime.advance(1s);
        REQUIRE(abandoned.answers == 0);
        return again.answer->result != outcome::Replayed;
    };
    REQUIRE(losesAnswer(true));
    REQUIRE_FALSE(losesAnswer(false));
}

TEST_CASE_METHOD(request_key_fixture, "key.caller_left_before_the_claim_was_applied.frees_the_key")
{
    const caller_record& abandoned = cluster.post(0, "order", "k");
    cluster.entries[0].port->cancel(abandoned.id);
    cluster.runtime.advance(1s);
    REQUIRE(record(cluster, "k") == nullptr);
    REQUIRE(cluster.upstreams.calls.empty());
    REQUIRE(cluster.entries[0].requests->requestsInFlight() == 0);
}

TEST_CASE_METHOD(request_key_fixture, "key.settlement_lost.is_proposed_again_until_it_is_applied")
{
    int settlements = 0;
    cluster.entries[0].log->behaviour = [&](const control_command& command) {
        const bool settles = std::holds_alternative<settle_key>(command);
        return proposal_behaviour { 2ms, !settles || ++settlements > 3 };
    };
    cluster.post(0, "order", "k");
    cluster.runtime.advance(20s);
    REQUIRE(record(cluster, "k")->result == outcome::Completed);
}

TEST_CASE_METHOD(request_key_fixture, "key.proposal_refused_by_the_log.leaves_a_claim_unknown_and_a_settlement_pending")
{
    bool refusing = true;
    cluster.entries[0].log->behaviour = [&](const control_command&) {
        return proposal_behaviour { 2ms, true, true, std::exchange(refusing, false) };
    };
    const caller_record& unresolved = cluster.post(0, "order", "k");
    cluster.runtime.advance(1s);
    REQUIRE(unresolved.answer->result == outcome::Unknown);
    REQUIRE(unresolved.answer->reason == answer_reason::KeyUnavailable);
    cluster.post(0, "order", "k");
    cluster.runtime.advance(4ms);
    refusing = true;
    cluster.runtime.advance(1s);
    REQUIRE_FALSE(refusing);
    REQUIRE(record(cluster, "k")->result == outcome::Completed);
}

TEST_CASE_METHOD(request_key_fixture, "key.answer_too_large_to_keep.resend_gets_the_reason")
{
    cluster.post(0, std::string(1020, 'x'), "k");
    cluster.runtime.advance(1s);
    const caller_record& again = cluster.post(1, std::string(1020, 'x'), "k");
    cluster.runtime.advance(1s);
    REQUIRE(again.answer->result == outcome::Replayed);
    REQUIRE(again.answer->reason == answer_reason::AnswerNotKept);
}

} // namespace plantainlatch
