#include <iostream>

#include <catch2/catch.hpp>

#include "soak/platform_soak.h"
#include "soak/soak_run.h"
#include "support/from_environment.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    constexpr soak_size defaultSize { 4, 6, 15s };

    class soak_fixture {
    protected:
        void runSeed(std::uint64_t seed, const soak_size& size)
        {
            soak_run soak(seed, size);
            soak.run();
            INFO("seed " << seed << "\n" << soak.journal());
            CHECK(soak.violations().empty());
        }

        void runPlatformSeed(std::uint64_t seed, duration length)
        {
            platform_soak soak(seed, length);
            soak.run();
            std::cout << "seed " << seed << "\n" << soak.journal() << std::flush;
            CHECK(soak.violations().empty());
        }
    };

} // namespace

/** Fixed seeds. A seed that has failed is added here with a line on its cause. */
TEST_CASE_METHOD(soak_fixture, "soak.fixed_seed.holds_all_invariants") { runSeed(1, defaultSize); }

TEST_CASE_METHOD(soak_fixture, "soak.seeds_from_the_environment.hold_all_invariants", "[.seeds]")
{
    soak_size size = defaultSize;
    size.length = std::chrono::seconds(fromEnvironment("SOAK_SECONDS", 15));
    const std::uint64_t first = fromEnvironment("SOAK_FIRST", 1);
    const std::uint64_t count = fromEnvironment("SOAK_COUNT", 1);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        std::cout << "seed " << seed << std::endl;
        runSeed(seed, size);
    }
}

TEST_CASE_METHOD(soak_fixture, "platform_soak.fixed_seed.holds_all_invariants") { runPlatformSeed(1, 20s); }

TEST_CASE_METHOD(soak_fixture, "platform_soak.seeds_from_the_environment.hold_all_invariants", "[.platform]")
{
    const duration length = std::chrono::seconds(fromEnvironment("SOAK_SECONDS", 20));
    const std::uint64_t first = fromEnvironment("SOAK_FIRST", 1);
    const std::uint64_t count = fromEnvironment("SOAK_COUNT", 1);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        std::cout << "seed " << seed << std::endl;
        runPlatformSeed(seed, length);
    }
}

TEST_CASE("soak_schedule.same_seed.gives_the_same_event_count_and_no_overlapping_process_faults")
{
    const std::vector<soak_event> events = generateSchedule(7, defaultSize);
    REQUIRE(events.size() == generateSchedule(7, defaultSize).size());
    duration processFaultsEnd {};
    for (const soak_event& event : events) {
        if (event.fault != soak_fault::Kill && event.fault != soak_fault::Stop && event.fault != soak_fault::Pause)
            continue;
        REQUIRE(event.at >= processFaultsEnd);
        processFaultsEnd = event.at + event.length;
    }
}

} // namespace plantainlatch
