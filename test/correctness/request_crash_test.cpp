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

        static void crashUpstreamsOnTarget(request_cluster& cluster, const std::string& target)
        {
            cluster.upstreams.behaviour = [target](const upstream_call& call) {
                return call_behaviour { call.target == target ? kind::Crash : kind::Answer, 20ms };
            };
            for (fake_entry& entry : cluster.entries)
                entry.log->applyLag = 60ms;
        }

        /** Counts the crashes caused by a caller that repeatedly waits for an answer and then resends to all entries.
         */
        static std::size_t crashesOfResends(const request_options& options)
        {
            request_cluster cluster(1, entryCount, upstreamCount, 3, options);
            crashUpstreamsOnTarget(cluster, "/bad");
            cluster.get(0, "/bad");
            for (int round = 0; round < 20; ++round) {
                while (!cluster.sent.back()->answer)
                    cluster.runtime.advance(1ms);
                for (std::size_t entry = 0; entry < entryCount; ++entry)
                    cluster.get(entry, "/bad");
            }
            cluster.runtime.advance(3s);
            return cluster.upstreams.crashes;
        }

        static std::size_t crashesOfOneBurst(std::size_t resendsPerEntry)
        {
            request_cluster cluster(1, entryCount, upstreamCount, 3);
            crashUpstreamsOnTarget(cluster, "/bad");
            for (std::size_t i = 0; i < entryCount * resendsPerEntry; ++i)
                cluster.get(i % entryCount, "/bad");
            cluster.runtime.advance(3s);
            return cluster.upstreams.crashes;
        }
    };

} // namespace

TEST_CASE_METHOD(request_crash_fixture, "crash.resent_to_all_entries_after_each_answer.crashes_at_most_three_upstreams")
{
    request_options broken;
    broken.policies.mayBeCrash = [](call_failure) { return false; };
    REQUIRE(crashesOfResends(broken) > 3);
    REQUIRE(crashesOfResends({}) <= 3);
}

TEST_CASE_METHOD(
    request_crash_fixture, "crash.answer_sent_before_the_report_reaches_all_entries.crashes_more_than_three_upstreams")
{
    request_options broken;
    broken.crashReportPropagationTime = 0ms;
    broken.maximumAttempts = 1;
    request_options withPropagationTime;
    withPropagationTime.maximumAttempts = 1;
    REQUIRE(crashesOfResends(broken) > 3);
    REQUIRE(crashesOfResends(withPropagationTime) <= 3);
}

TEST_CASE_METHOD(
    request_crash_fixture, "crash.sent_to_all_entries_at_once.crashes_at_most_one_upstream_per_entry_and_two_more")
{
    REQUIRE(crashesOfOneBurst(1) <= entryCount + 2);
    REQUIRE(crashesOfOneBurst(5) <= entryCount + 2);
}

TEST_CASE_METHOD(request_crash_fixture, "crash.two_upstreams_crashed.equal_requests_are_refused_and_others_still_run")
{
    request_cluster cluster(1, 2, upstreamCount, 3);
    crashUpstreamsOnTarget(cluster, "/bad");
    cluster.get(0, "/bad");
    cluster.runtime.advance(2s);
    const caller_record& refused = cluster.get(1, "/bad");
    const caller_record& other = cluster.get(1, "/good");
    cluster.runtime.advance(1s);
    REQUIRE(refused.answer->result == outcome::NotRun);
    REQUIRE(refused.answer->reason == answer_reason::CrashingRequest);
    REQUIRE(other.answer->result == outcome::Completed);
}

TEST_CASE_METHOD(request_crash_fixture, "crash.log_unavailable.is_still_refused_at_the_entry_that_observed_it")
{
    request_cluster cluster(1, 1, upstreamCount, 3);
    crashUpstreamsOnTarget(cluster, "/bad");
    cluster.entries[0].log->behaviour = [](const control_command&) { return proposal_behaviour { 0ms, false }; };
    for (int i = 0; i < 20; ++i) {
        cluster.get(0, "/bad");
        cluster.runtime.advance(2s);
    }
    REQUIRE(cluster.upstreams.crashes <= 2);
}

TEST_CASE_METHOD(
    request_crash_fixture, "crash.known_good_requests_during_upstream_restarts.complete_without_a_crash_report")
{
    request_cluster cluster(1, 1, upstreamCount, 3);
    bool restarting = false;
    cluster.upstreams.behaviour = [&](const upstream_call&) {
        return call_behaviour { std::exchange(restarting, false) ? kind::LostRequest : kind::Answer, 20ms };
    };
    for (int i = 0; i < 100; ++i) {
        restarting = i % 20 == 19;
        const caller_record& sent = cluster.get(0, "/courts");
        cluster.runtime.advance(1s);
        REQUIRE(sent.answer->result == outcome::Completed);
    }
    REQUIRE(cluster.log.state.crashes.empty());
}

} // namespace plantainlatch
