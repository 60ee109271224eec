#include <catch2/catch.hpp>

#include "decision/control/apply_directory.h"
#include "support/control_fixture.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    /** Any service and failure domain may join, a later generation takes over an address, and flapping is not damped.
     */
    constexpr directory_rules permissiveRules { false, true, false };

    class directory_state_fixture {
    protected:
        command_verdict join(const upstream_announcement& offered)
        {
            proposal item;
            item.proposedAt = now;
            return applyJoin(state, item, { offered }, permissiveRules).verdict;
        }

        command_verdict leave(const upstream_announcement& offered, bool deregistered)
        {
            return applyLeave(state, {}, { offered.id, offered.generation, deregistered, offered.sequence }).verdict;
        }

        bool drains(const std::string& id) { return state.directory.at(upstream_id(id)).announcement.draining; }

        wall_time now {};
        control_snapshot state;
        upstream_announcement first = bookingUpstream("u1", 9001);
    };

} // namespace

TEST_CASE_METHOD(directory_state_fixture, "directory_state.undeclared_service.joins_under_permissive_rules")
{
    REQUIRE(join(first) == command_verdict::Accepted);
}

TEST_CASE_METHOD(directory_state_fixture, "directory_state.outdated_announcement_after_draining.changes_nothing")
{
    first.sequence = 3;
    join(first);
    first.sequence = 5;
    first.draining = true;
    REQUIRE(join(first) == command_verdict::Accepted);
    first.sequence = 4;
    first.draining = false;
    REQUIRE(join(first) == command_verdict::AlreadyAccepted);
    REQUIRE(drains("u1"));
}

TEST_CASE_METHOD(
    directory_state_fixture, "directory_state.later_generation_at_the_same_address.replaces_the_earlier_upstream")
{
    first.generation = upstream_generation(100);
    join(first);
    upstream_announcement second = bookingUpstream("u2", 9001);
    second.generation = upstream_generation(200);
    REQUIRE(join(second) == command_verdict::Accepted);
    REQUIRE(state.directory.size() == 1);
    REQUIRE(join(first) == command_verdict::Refused);
    REQUIRE(state.directory.contains(upstream_id("u2")));
}

TEST_CASE_METHOD(directory_state_fixture, "directory_state.same_id_with_a_later_generation.replaces_the_earlier_state")
{
    first.generation = upstream_generation(100);
    first.sequence = 50;
    first.draining = true;
    join(first);
    first.generation = upstream_generation(200);
    first.sequence = 1;
    first.draining = false;
    REQUIRE(join(first) == command_verdict::Accepted);
    REQUIRE_FALSE(drains("u1"));
}

TEST_CASE_METHOD(directory_state_fixture, "directory_state.renewal_after_deregistration.does_not_bring_it_back")
{
    join(first);
    leave(first, true);
    first.sequence = 9;
    REQUIRE(join(first) == command_verdict::Refused);
    REQUIRE(state.directory.empty());
}

TEST_CASE_METHOD(
    directory_state_fixture, "directory_state.return_after_expiration.is_not_delayed_under_permissive_rules")
{
    for (int i = 0; i < 10; ++i) {
        first.generation = upstream_generation(100 + static_cast<std::uint64_t>(i));
        REQUIRE(join(first) == command_verdict::Accepted);
        leave(first, false);
    }
}

TEST_CASE_METHOD(
    directory_state_fixture, "directory_state.announcement_with_less_remaining_cold_time.counts_as_the_same")
{
    first.coldFor = 3s;
    upstream_announcement later = first;
    later.coldFor = 1s;
    later.sequence = 7;
    REQUIRE(hasSameContent(first, later));
    later.coldFor = 0s;
    REQUIRE_FALSE(hasSameContent(first, later));
    later.coldFor = 1s;
    later.draining = true;
    REQUIRE_FALSE(hasSameContent(first, later));
}

TEST_CASE_METHOD(
    directory_state_fixture, "directory_state.removal_of_an_announcement_that_was_replaced.changes_nothing")
{
    first.sequence = 4;
    join(first);
    const upstream_announcement replaced = first;
    first.sequence = 9;
    first.draining = true;
    join(first);
    leave(replaced, false);
    REQUIRE(state.directory.contains(first.id));
    leave(first, false);
    REQUIRE_FALSE(state.directory.contains(first.id));
}

TEST_CASE_METHOD(directory_state_fixture,
    "directory_state.deregistration_before_the_join_of_its_generation.ends_the_earlier_generation")
{
    first.generation = upstream_generation(3);
    join(first);
    upstream_announcement second = first;
    second.generation = upstream_generation(4);
    REQUIRE(leave(second, true) == command_verdict::Accepted);
    REQUIRE(state.directory.empty());
    REQUIRE(join(second) == command_verdict::Refused);
    REQUIRE(join(first) == command_verdict::Refused);
}

TEST_CASE_METHOD(directory_state_fixture,
    "directory_state.upstream_whose_address_was_claimed_wrongly.returns_after_the_claim_expired")
{
    first.generation = upstream_generation(100);
    join(first);
    upstream_announcement wrong = bookingUpstream("u2", 9001);
    wrong.generation = upstream_generation(200);
    join(wrong);
    leave(wrong, false);
    REQUIRE(join(first) == command_verdict::Accepted);
}

// Guards against a leave without effect after the address of the upstream was taken over, so that it had no record.
TEST_CASE_METHOD(
    directory_state_fixture, "directory_state.upstream_that_left_after_its_address_was_taken_over.does_not_come_back")
{
    first.generation = upstream_generation(100);
    join(first);
    upstream_announcement second = bookingUpstream("u2", 9001);
    second.generation = upstream_generation(200);
    join(second);
    REQUIRE(lastKnownGeneration(state, first.id) == first.generation);
    leave(first, true);
    leave(second, true);
    first.sequence = 9;
    REQUIRE(join(first) == command_verdict::Refused);
}

} // namespace plantainlatch
