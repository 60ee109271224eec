#include <cstdio>
#include <string>

#include <catch2/catch.hpp>

#include "support/from_environment.h"
#include "vm_runner.h"

namespace plantainlatch {

namespace {

    class vm_runner_fixture {
    protected:
        /** Runs a seed; a violated invariant is printed with its trace and the command that reproduces it. */
        static run_result runSeed(std::uint64_t seed)
        {
            run_plan plan;
            plan.seed = seed;
            run_result result = runVms(plan);
            if (!result.violation.empty()) {
                std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), result.violation.c_str());
                for (const std::string& line : result.trace)
                    std::printf("    %s\n", line.c_str());
                std::printf("repeat: tools/run_seeds %llu 1\n", static_cast<unsigned long long>(seed));
            }
            return result;
        }
    };

} // namespace

TEST_CASE_METHOD(vm_runner_fixture, "vms.under_random_faults.hold_all_invariants")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const run_result result = runSeed(seed);
        REQUIRE(result.violation.empty());
        REQUIRE(result.completed > 0);
    }
}

TEST_CASE_METHOD(vm_runner_fixture, "random_run.with_an_equal_seed.has_the_same_event_hash")
{
    REQUIRE(runSeed(3).hash == runSeed(3).hash);
    REQUIRE(runSeed(3).hash != runSeed(4).hash);
}

/** Run by tools/run_seeds; SEED_FIRST and SEED_COUNT in the environment select the seeds. */
TEST_CASE_METHOD(vm_runner_fixture, "vms.with_seeds_from_the_environment.hold_all_invariants", "[.seeds]")
{
    const std::uint64_t first = fromEnvironment("SEED_FIRST", 1);
    const std::uint64_t count = fromEnvironment("SEED_COUNT", 1);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        const run_result result = runSeed(seed);
        std::printf("seed %llu %s hash %016llx completed %llu\n", static_cast<unsigned long long>(seed),
            result.violation.empty() ? "ok" : "FAILED", static_cast<unsigned long long>(result.hash),
            static_cast<unsigned long long>(result.completed));
        std::fflush(stdout);
    }
}

} // namespace plantainlatch
