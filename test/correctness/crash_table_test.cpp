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
            return isBlockedByCrashes(state, { service_id("taller"), request_fingerprint(fingerprint) }, now);
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
