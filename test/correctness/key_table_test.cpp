#include <catch2/catch.hpp>

#include "decision/control/key_table.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    class key_table_fixture {
    protected:
        command_result claim(std::uint64_t sequence, const std::string& key, std::uint64_t fingerprint = 1)
        {
            claim_key command { service_id("taller"), idempotency_key(key), request_fingerprint(fingerprint), 60s, 5s };
            return applyClaim(keys, proposalOf(sequence), command, limits);
        }

        command_result settle(std::uint64_t claimSequence, const std::string& key, outcome result,
            std::optional<upstream_answer> answer = {})
        {
            settle_key command { service_id("taller"), idempotency_key(key), proposalOf(claimSequence).id, result,
                std::move(answer) };
            return applySettle(keys, proposalOf(1000 + claimSequence), command, limits);
        }

        proposal proposalOf(std::uint64_t sequence) const
        {
            proposal item;
            item.id = { vm_id("cdmx-1"), incarnation(1), sequence };
            item.proposedAt = now;
            return item;
        }

        std::map<key_name, key_record> keys;
        key_table_limits limits;
        wall_time now {};
    };

} // namespace

TEST_CASE_METHOD(key_table_fixture, "key_table.second_claim.is_in_progress_and_then_gets_the_answer_of_the_first")
{
    REQUIRE(claim(1, "order").claim == claim_result::Claimed);
    REQUIRE(claim(2, "order").claim == claim_result::InProgress);
    REQUIRE(settle(1, "order", outcome::Completed, upstream_answer { 201, {}, "made" }).verdict
        == command_verdict::Accepted);
    const command_result replay = claim(3, "order");
    REQUIRE(replay.claim == claim_result::Completed);
    REQUIRE(replay.answer->body == "made");
}

TEST_CASE_METHOD(key_table_fixture, "key_table.claim_applied_twice.succeeds_both_times")
{
    REQUIRE(claim(1, "order").claim == claim_result::Claimed);
    REQUIRE(claim(1, "order").claim == claim_result::Claimed);
}

TEST_CASE_METHOD(key_table_fixture, "key_table.other_request_with_a_used_key.is_reported_as_reused")
{
    claim(1, "order", 1);
    REQUIRE(claim(2, "order", 2).claim == claim_result::Reused);
}

TEST_CASE_METHOD(key_table_fixture, "key_table.claim_not_settled_within_the_run_limit.is_unknown_and_not_freed")
{
    claim(1, "order");
    now += 6s;
    REQUIRE(claim(2, "order").claim == claim_result::Unknown);
    now += 50s;
    REQUIRE(claim(3, "order").claim == claim_result::Unknown);
}

TEST_CASE_METHOD(key_table_fixture, "key_table.settled_not_run.frees_the_key_for_the_same_or_another_request")
{
    claim(1, "order", 1);
    settle(1, "order", outcome::NotRun);
    REQUIRE(claim(2, "order", 2).claim == claim_result::Claimed);
}

TEST_CASE_METHOD(key_table_fixture, "key_table.settlement_of_another_or_a_completed_claim.is_refused")
{
    claim(1, "order");
    REQUIRE(settle(2, "order", outcome::NotRun).verdict == command_verdict::Refused);
    REQUIRE(settle(1, "order", outcome::InProgress).verdict == command_verdict::Refused);
    settle(1, "order", outcome::Completed);
    REQUIRE(settle(1, "order", outcome::NotRun).verdict == command_verdict::Refused);
    REQUIRE(settle(1, "order", outcome::Unknown).verdict == command_verdict::Refused);
    REQUIRE(claim(2, "order").claim == claim_result::Completed);
}

TEST_CASE_METHOD(key_table_fixture, "key_table.unknown_outcome.can_become_completed_but_not_not_run")
{
    claim(1, "order");
    settle(1, "order", outcome::Unknown);
    REQUIRE(settle(1, "order", outcome::NotRun).verdict == command_verdict::Refused);
    REQUIRE(settle(1, "order", outcome::Completed).verdict == command_verdict::Accepted);
}

TEST_CASE_METHOD(key_table_fixture, "key_table.full.refuses_new_claims_and_keeps_old_keys_until_they_expire")
{
    limits.keys = 3;
    for (std::uint64_t i = 1; i <= 3; ++i)
        REQUIRE(claim(i, "order-" + std::to_string(i)).claim == claim_result::Claimed);
    REQUIRE(claim(4, "order-4").claim == claim_result::TableFull);
    REQUIRE(claim(5, "order-1").claim == claim_result::InProgress);
    now += 60s;
    REQUIRE(claim(6, "order-4").claim == claim_result::Claimed);
    REQUIRE(keys.size() == 1);
}

TEST_CASE_METHOD(key_table_fixture, "key_table.answer_too_large_to_keep.settles_as_completed_without_it")
{
    limits.keptAnswer = byte_count(10);
    claim(1, "order");
    settle(1, "order", outcome::Completed, upstream_answer { 201, { { "name", "value" } }, "four" });
    const command_result replay = claim(2, "order");
    REQUIRE(replay.claim == claim_result::Completed);
    REQUIRE(!replay.answer);
}

} // namespace plantainlatch
