#include <cstdlib>
#include <iostream>

#include <catch2/catch.hpp>

#include "soak/soak_run.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    constexpr soak_size usualSize { 4, 6, 15s };

    std::uint64_t fromEnvironment(const char* name, std::uint64_t otherwise)
    {
        const char* text = std::getenv(name);
        return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
    }

    class soak_fixture {
    protected:
        void play(std::uint64_t seed, const soak_size& size)
        {
            soak_run run(seed, size);
            run.play();
            INFO("seed " << seed << "\n" << run.journal());
            CHECK(run.broken().empty());
        }
    };

} // namespace

/** Fixed seeds; each seed that ever failed joins them, with a line on its cause. */
TEST_CASE_METHOD(soak_fixture, "soak.fixed_seed.keeps_every_promise") { play(1, usualSize); }

TEST_CASE_METHOD(soak_fixture, "soak.seeds_by_hand.keep_every_promise", "[.seeds]")
{
    soak_size size = usualSize;
    size.length = std::chrono::seconds(fromEnvironment("SOAK_SECONDS", 15));
    const std::uint64_t first = fromEnvironment("SOAK_FIRST", 1);
    const std::uint64_t count = fromEnvironment("SOAK_COUNT", 1);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        std::cout << "seed " << seed << std::endl;
        play(seed, size);
    }
}

TEST_CASE("soak_schedule.same_seed.draws_the_same_and_strikes_one_process_at_a_time")
{
    const std::vector<soak_event> events = drawSchedule(7, usualSize);
    REQUIRE(events.size() == drawSchedule(7, usualSize).size());
    duration free {};
    for (const soak_event& event : events) {
        if (event.fault != soak_fault::Kill && event.fault != soak_fault::Stop && event.fault != soak_fault::Pause)
            continue;
        REQUIRE(event.at >= free);
        free = event.at + event.lasts;
    }
}

} // namespace plantainlatch
