#include <catch2/catch.hpp>

#include "decision/control/crash_table.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    class crash_table_fixture {
    protected:
        void report(std::uint64_t fingerprint, const std::string& upstream, std::uint64_t generation = 1)
        {
            proposal item;
            item.proposedAt = now;
            applyCrashReport(state.crashes, item,
                { service_id("taller"), request_fingerprint(fingerprint), upstream_id(upstream),
                    upstream_generation(generation) });
        }

        bool refuses(std::uint64_t fingerprint) const
        {
            const auto found = state.crashes.find({ service_id("taller"), request_fingerprint(fingerprint) });
            return found != state.crashes.end() && found->second.crashes() >= crashedUpstreamThreshold
                && isRetained(found->second, now);
        }

        control_snapshot state;
        wall_time now {};
    };

} // namespace

TEST_CASE_METHOD(
    crash_table_fixture, "crash_table.crashes_of_two_distinct_upstreams.block_equal_requests_until_the_record_expires")
{
    report(7, "a");
    report(7, "a");
    REQUIRE(!refuses(7));
    report(7, "b");
    REQUIRE(refuses(7));
    REQUIRE(!refuses(8));
    now += std::chrono::duration_cast<std::chrono::milliseconds>(crashRetention);
    REQUIRE(!refuses(7));
}

/** A request that crashed an upstream which came back under its id was never refused (BUDGET, review/5). */
TEST_CASE_METHOD(crash_table_fixture, "crash_table.crashes_of_one_upstream_after_its_restart.block_equal_requests")
{
    report(7, "a", 1);
    REQUIRE(!refuses(7));
    report(7, "a", 2);
    REQUIRE(refuses(7));
}

TEST_CASE_METHOD(crash_table_fixture, "crash_table.upstreams_of_a_former_snapshot.count_with_later_ones")
{
    state.crashes[{ service_id("taller"), request_fingerprint(7) }].withoutGeneration = { upstream_id("a") };
    report(7, "b");
    REQUIRE(refuses(7));
}

// Guards against several entries that run a refused request at the same time.
TEST_CASE_METHOD(crash_table_fixture, "crash_table.trial.is_allowed_to_the_first_that_asks")
{
    const crash_key key { service_id("taller"), request_fingerprint(7) };
    REQUIRE(applyCrashTrial(state.crashes, { key, 0 }).verdict == command_verdict::Refused);
    report(7, "a");
    REQUIRE(applyCrashTrial(state.crashes, { key, 0 }).verdict == command_verdict::Accepted);
    REQUIRE(applyCrashTrial(state.crashes, { key, 0 }).verdict == command_verdict::Refused);
    REQUIRE(applyCrashTrial(state.crashes, { key, 1 }).verdict == command_verdict::Accepted);
}

TEST_CASE_METHOD(
    crash_table_fixture, "crash_table.delay_of_trials.grows_with_those_that_were_judged_until_none_is_left")
{
    crash_record record;
    REQUIRE(trialDelay(record) == 2s);
    record.trials = 2;
    REQUIRE(trialDelay(record) == 8s);
    record.unjudgedTrials = 1;
    REQUIRE(trialDelay(record) == 4s);
    record.liftedRefusals = 5;
    REQUIRE(trialDelay(record) == maximumTrialDelay);
    record.trials = 1 + maximumJudgedTrials;
    REQUIRE_FALSE(trialDelay(record));
}

// Guards against a withdrawal that forgets how often refusals were lifted before.
TEST_CASE_METHOD(crash_table_fixture, "crash_table.withdrawal.keeps_only_the_number_of_lifted_refusals")
{
    const crash_key key { service_id("taller"), request_fingerprint(7) };
    report(7, "a");
    applyCrashWithdrawal(state.crashes, { key, false });
    REQUIRE(state.crashes.empty());
    for (std::uint64_t lifted = 1; lifted <= 3; ++lifted) {
        report(7, "a", lifted);
        report(7, "b", lifted);
        REQUIRE(refuses(7));
        applyCrashWithdrawal(state.crashes, { key, true });
        REQUIRE(!refuses(7));
        REQUIRE(state.crashes.at(key).liftedRefusals == lifted);
    }
}

// Guards against a crash that is counted for equal requests of all callers only.
TEST_CASE_METHOD(crash_table_fixture, "crash_table.report_with_two_fingerprints.counts_for_both")
{
    proposal item;
    item.proposedAt = now;
    report(8, "b");
    const command_result result = applyCrashReport(state.crashes, item,
        { service_id("taller"), request_fingerprint(7), upstream_id("a"), upstream_generation(1),
            request_fingerprint(8) });
    REQUIRE(result.crashedUpstreams == 1);
    REQUIRE(result.otherCrashedUpstreams == 2);
    REQUIRE(refuses(8));
}

TEST_CASE_METHOD(crash_table_fixture, "crash_table.too_many_fingerprints.evict_the_oldest_record")
{
    for (std::uint64_t i = 0; i <= maximumCrashRecords; ++i) {
        report(i, "a");
        now += 1ms;
    }
    REQUIRE(state.crashes.size() == maximumCrashRecords);
    REQUIRE(!state.crashes.contains({ service_id("taller"), request_fingerprint(0) }));
}

} // namespace plantainlatch
