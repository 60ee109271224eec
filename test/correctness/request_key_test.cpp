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

        static const key_record* record(const request_cluster& world, const std::string& key)
        {
            const auto found = world.log.state.keys.find({ service_id("taller"), idempotency_key(key) });
            return found != world.log.state.keys.end() ? &found->second : nullptr;
        }

        request_cluster world { 1, 2, 3, 2 };
    };

} // namespace

TEST_CASE_METHOD(request_key_fixture, "key.resent_at_another_entry.is_in_progress_and_later_replayed")
{
    const auto runsTwice = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.claims = [](const request_traits&) { return false; };
        request_cluster tried(1, 2, 3, 2, options);
        tried.upstreams.behaviour = slowAnswer;
        const caller_record& first = tried.post(0, "order", "k");
        tried.runtime.advance(50ms);
        const caller_record& early = tried.post(1, "order", "k");
        tried.runtime.advance(200ms);
        const caller_record& late = tried.post(1, "order", "k");
        tried.runtime.advance(200ms);
        REQUIRE(first.answer->result == outcome::Completed);
        if (!broken) {
            REQUIRE(early.answer->result == outcome::InProgress);
            REQUIRE(late.answer->result == outcome::Replayed);
            REQUIRE(late.answer->content.body == first.answer->content.body);
        }
        return tried.upstreams.runs["order"] > 1;
    };
    REQUIRE(runsTwice(true));
    REQUIRE_FALSE(runsTwice(false));
}

TEST_CASE_METHOD(request_key_fixture, "key.used_with_another_body.is_refused_as_reused")
{
    world.post(0, "order", "k");
    world.runtime.advance(200ms);
    const caller_record& other = world.post(1, "other", "k");
    world.runtime.advance(200ms);
    REQUIRE(other.answer->content.status == 422);
    REQUIRE(other.answer->reason == answer_reason::KeyReused);
    REQUIRE(world.upstreams.runs.count("other") == 0);
}

TEST_CASE_METHOD(request_key_fixture, "key.answer_lost.stays_unknown_at_every_entry")
{
    world.upstreams.behaviour = [](const upstream_call&) { return call_behaviour { kind::LostAnswer, 20ms }; };
    world.post(0, "order", "k");
    world.runtime.advance(2s);
    const caller_record& again = world.post(1, "order", "k");
    world.runtime.advance(2s);
    REQUIRE(again.answer->result == outcome::Unknown);
    REQUIRE(again.answer->reason == answer_reason::KeyTaken);
    REQUIRE(world.upstreams.runs["order"] == 1);
}

TEST_CASE_METHOD(request_key_fixture, "key.work_not_run.is_freed_for_a_resend")
{
    world.upstreams.behaviour = [](const upstream_call&) { return call_behaviour { kind::MarkedRefusal, 20ms }; };
    const caller_record& refused = world.post(0, "order", "k");
    world.runtime.advance(1s);
    REQUIRE(refused.answer->result == outcome::NotRun);
    REQUIRE(record(world, "k") == nullptr);
    world.upstreams.behaviour = slowAnswer;
    const caller_record& again = world.post(1, "order", "k");
    world.runtime.advance(1s);
    REQUIRE(again.answer->result == outcome::Completed);
}

TEST_CASE_METHOD(request_key_fixture, "key.claim_applied_after_its_timeout.is_never_dispatched_and_released")
{
    const auto staysTaken = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.releasesLateClaims = [] { return false; };
        request_cluster tried(1, 2, 3, 2, options);
        tried.entries[0].log->behaviour = [](const control_command& command) {
            return proposal_behaviour { std::holds_alternative<claim_key>(command) ? 3000ms : 2ms };
        };
        const caller_record& late = tried.post(0, "order", "k");
        tried.runtime.advance(1s);
        REQUIRE(late.answer->result == outcome::Unknown);
        tried.runtime.advance(4s);
        REQUIRE(tried.upstreams.calls.empty());
        const caller_record& again = tried.post(1, "order", "k");
        tried.runtime.advance(2s);
        return again.answer->result != outcome::Completed;
    };
    REQUIRE(staysTaken(true));
    REQUIRE_FALSE(staysTaken(false));
}

TEST_CASE_METHOD(request_key_fixture, "key.resent_where_the_log_is_out_of_reach.is_not_called_not_run")
{
    const auto lies = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.unresolvedOutcome = [](const request_traits&) { return outcome::NotRun; };
        request_cluster tried(1, 2, 3, 2, options);
        const control_snapshot stale = tried.log.state;
        tried.post(0, "order", "k");
        tried.runtime.advance(1s);
        REQUIRE(tried.upstreams.runs["order"] == 1);
        tried.entries[1].log->control.state = [&stale]() -> const control_snapshot& { return stale; };
        tried.entries[1].log->behaviour = [](const control_command&) { return proposal_behaviour { 0ms, false }; };
        const caller_record& again = tried.post(1, "order", "k");
        tried.runtime.advance(2s);
        return again.answer->result == outcome::NotRun;
    };
    REQUIRE(lies(true));
    REQUIRE_FALSE(lies(false));
}

TEST_CASE_METHOD(
    request_key_fixture, "key.entry_died_with_the_claim.is_in_progress_and_then_unknown_and_never_runs_again")
{
    world.upstreams.behaviour = slowAnswer;
    world.post(0, "order", "k");
    world.runtime.advance(50ms);
    world.kill(0);
    world.start(0);
    const caller_record& soon = world.post(0, "order", "k");
    world.runtime.advance(2s);
    const caller_record& later = world.post(1, "order", "k");
    world.runtime.advance(2s);
    REQUIRE(soon.answer->result == outcome::InProgress);
    REQUIRE(later.answer->result == outcome::Unknown);
    REQUIRE(world.upstreams.runs["order"] == 1);
}

TEST_CASE_METHOD(request_key_fixture, "key.caller_left_after_dispatch.work_goes_on_and_a_resend_gets_its_answer")
{
    const auto losesAnswer = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.outlivesCaller = [](const request_traits&) { return false; };
        request_cluster tried(1, 2, 3, 2, options);
        tried.upstreams.behaviour = slowAnswer;
        const caller_record& left = tried.post(0, "order", "k");
        tried.runtime.advance(50ms);
        tried.entries[0].port->cancel(left.id);
        tried.runtime.advance(1s);
        const caller_record& again = tried.post(1, "order", "k");
        tried.runtime.advance(1s);
        REQUIRE(left.answers == 0);
        return again.answer->result != outcome::Replayed;
    };
    REQUIRE(losesAnswer(true));
    REQUIRE_FALSE(losesAnswer(false));
}

TEST_CASE_METHOD(request_key_fixture, "key.caller_left_before_the_claim_was_agreed.frees_the_key")
{
    const caller_record& left = world.post(0, "order", "k");
    world.entries[0].port->cancel(left.id);
    world.runtime.advance(1s);
    REQUIRE(record(world, "k") == nullptr);
    REQUIRE(world.upstreams.calls.empty());
    REQUIRE(world.entries[0].requests->requestsInFlight() == 0);
}

TEST_CASE_METHOD(request_key_fixture, "key.settlement_lost.is_proposed_again_until_the_log_has_it")
{
    int settlements = 0;
    world.entries[0].log->behaviour = [&](const control_command& command) {
        const bool settles = std::holds_alternative<settle_key>(command);
        return proposal_behaviour { 2ms, !settles || ++settlements > 3 };
    };
    world.post(0, "order", "k");
    world.runtime.advance(20s);
    REQUIRE(record(world, "k")->result == outcome::Completed);
}

TEST_CASE_METHOD(request_key_fixture, "key.proposal_refused_by_the_log.leaves_a_claim_unknown_and_a_settlement_owed")
{
    bool refusing = true;
    world.entries[0].log->behaviour = [&](const control_command&) {
        return proposal_behaviour { 2ms, true, true, std::exchange(refusing, false) };
    };
    const caller_record& unresolved = world.post(0, "order", "k");
    world.runtime.advance(1s);
    REQUIRE(unresolved.answer->result == outcome::Unknown);
    REQUIRE(unresolved.answer->reason == answer_reason::KeyUnavailable);
    world.post(0, "order", "k");
    world.runtime.advance(4ms);
    refusing = true;
    world.runtime.advance(1s);
    REQUIRE_FALSE(refusing);
    REQUIRE(record(world, "k")->result == outcome::Completed);
}

TEST_CASE_METHOD(request_key_fixture, "key.answer_too_large_to_keep.resend_is_told_so")
{
    world.post(0, std::string(1020, 'x'), "k");
    world.runtime.advance(1s);
    const caller_record& again = world.post(1, std::string(1020, 'x'), "k");
    world.runtime.advance(1s);
    REQUIRE(again.answer->result == outcome::Replayed);
    REQUIRE(again.answer->reason == answer_reason::AnswerNotKept);
}

} // namespace plantainlatch
