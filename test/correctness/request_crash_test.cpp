#include <catch2/catch.hpp>

#include "support/request_cluster.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;
    using kind = call_behaviour::kind;

    class request_crash_fixture {
    protected:
        static constexpr std::size_t entryCount = 7;
        static constexpr std::size_t upstreamCount = 12;

        static void crashOn(request_cluster& world, const std::string& target)
        {
            world.upstreams.behaviour = [target](const upstream_call& call) {
                return call_behaviour { call.target == target ? kind::Crash : kind::Answer, 20ms };
            };
            for (fake_entry& entry : world.entries)
                entry.log->applyLag = 60ms;
        }

        /** The caller waits for an answer and then resends at all entries at once, again and again. */
        static std::size_t crashesOfResends(const request_options& options)
        {
            request_cluster world(1, entryCount, upstreamCount, 3, options);
            crashOn(world, "/bad");
            world.get(0, "/bad");
            for (int round = 0; round < 20; ++round) {
                while (!world.sent.back()->answer)
                    world.runtime.advance(1ms);
                for (std::size_t entry = 0; entry < entryCount; ++entry)
                    world.get(entry, "/bad");
            }
            world.runtime.advance(3s);
            return world.upstreams.crashes;
        }

        static std::size_t crashesOfOneWave(std::size_t resendsPerEntry)
        {
            request_cluster world(1, entryCount, upstreamCount, 3);
            crashOn(world, "/bad");
            for (std::size_t i = 0; i < entryCount * resendsPerEntry; ++i)
                world.get(i % entryCount, "/bad");
            world.runtime.advance(3s);
            return world.upstreams.crashes;
        }
    };

} // namespace

TEST_CASE_METHOD(request_crash_fixture, "crash.resent_at_all_entries_after_each_answer.takes_three_upstreams_at_most")
{
    request_options broken;
    broken.policies.mayBeCrash = [](call_failure) { return false; };
    REQUIRE(crashesOfResends(broken) > 3);
    REQUIRE(crashesOfResends({}) <= 3);
}

TEST_CASE_METHOD(
    request_crash_fixture, "crash.answer_sent_before_the_report_has_spread.takes_more_than_three_upstreams")
{
    request_options broken;
    broken.crashReportSpread = 0ms;
    broken.maximumAttempts = 1;
    request_options sound;
    sound.maximumAttempts = 1;
    REQUIRE(crashesOfResends(broken) > 3);
    REQUIRE(crashesOfResends(sound) <= 3);
}

TEST_CASE_METHOD(
    request_crash_fixture, "crash.sent_to_all_entries_at_the_same_moment.takes_one_for_each_and_two_at_most")
{
    REQUIRE(crashesOfOneWave(1) <= entryCount + 2);
    REQUIRE(crashesOfOneWave(5) <= entryCount + 2);
}

TEST_CASE_METHOD(request_crash_fixture, "crash.after_two_upstreams.is_refused_with_the_reason_and_others_still_run")
{
    request_cluster world(1, 2, upstreamCount, 3);
    crashOn(world, "/bad");
    world.get(0, "/bad");
    world.runtime.advance(2s);
    const caller_record& refused = world.get(1, "/bad");
    const caller_record& other = world.get(1, "/good");
    world.runtime.advance(1s);
    REQUIRE(refused.answer->result == outcome::NotRun);
    REQUIRE(refused.answer->reason == answer_reason::CrashingRequest);
    REQUIRE(other.answer->result == outcome::Completed);
}

TEST_CASE_METHOD(request_crash_fixture, "crash.without_the_log.is_still_refused_at_the_entry_that_saw_it")
{
    request_cluster world(1, 1, upstreamCount, 3);
    crashOn(world, "/bad");
    world.entries[0].log->behaviour = [](const control_command&) { return proposal_behaviour { 0ms, false }; };
    for (int i = 0; i < 20; ++i) {
        world.get(0, "/bad");
        world.runtime.advance(2s);
    }
    REQUIRE(world.upstreams.crashes <= 2);
}

TEST_CASE_METHOD(
    request_crash_fixture, "crash.equal_lookups_that_completed_before.survive_the_restarts_of_their_upstreams")
{
    request_cluster world(1, 1, upstreamCount, 3);
    bool restarting = false;
    world.upstreams.behaviour = [&](const upstream_call&) {
        return call_behaviour { std::exchange(restarting, false) ? kind::LostRequest : kind::Answer, 20ms };
    };
    for (int i = 0; i < 100; ++i) {
        restarting = i % 20 == 19;
        const caller_record& sent = world.get(0, "/courts");
        world.runtime.advance(1s);
        REQUIRE(sent.answer->result == outcome::Completed);
    }
    REQUIRE(world.log.state.crashes.empty());
}

} // namespace plantainlatch
