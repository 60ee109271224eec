#include <catch2/catch.hpp>

#include "decision/control/apply_directory.h"
#include "support/control_fixture.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    /** Generations are comparable here, and nothing need be declared. */
    constexpr directory_rules openRules { false, true, false };

    class directory_state_fixture {
    protected:
        command_verdict join(const upstream_announcement& offered)
        {
            proposal item;
            item.proposedAt = now;
            return applyJoin(state, item, { offered }, openRules).verdict;
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

TEST_CASE_METHOD(directory_state_fixture, "directory_state.undeclared_service.joins_under_open_rules")
{
    REQUIRE(join(first) == command_verdict::Accepted);
}

TEST_CASE_METHOD(directory_state_fixture, "directory_state.late_ready_after_draining.changes_nothing")
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

TEST_CASE_METHOD(directory_state_fixture, "directory_state.later_generation_at_the_address.displaces_the_former")
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

TEST_CASE_METHOD(directory_state_fixture, "directory_state.same_id_of_a_later_start.begins_anew")
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

TEST_CASE_METHOD(directory_state_fixture, "directory_state.heartbeat_after_goodbye.does_not_bring_it_back")
{
    join(first);
    leave(first, true);
    first.sequence = 9;
    REQUIRE(join(first) == command_verdict::Refused);
    REQUIRE(state.directory.empty());
}

TEST_CASE_METHOD(directory_state_fixture, "directory_state.return_after_silence.is_not_held_up_under_open_rules")
{
    for (int i = 0; i < 10; ++i) {
        first.generation = upstream_generation(100 + static_cast<std::uint64_t>(i));
        REQUIRE(join(first) == command_verdict::Accepted);
        leave(first, false);
    }
}

TEST_CASE_METHOD(directory_state_fixture, "directory_state.cold_time_that_runs_down.says_the_same")
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

TEST_CASE_METHOD(directory_state_fixture, "directory_state.removal_for_silence_that_comes_after_news.changes_nothing")
{
    first.sequence = 4;
    join(first);
    const upstream_announcement silent = first;
    first.sequence = 9;
    first.draining = true;
    join(first);
    leave(silent, false);
    REQUIRE(state.directory.contains(first.id));
    leave(first, false);
    REQUIRE_FALSE(state.directory.contains(first.id));
}

} // namespace plantainlatch
