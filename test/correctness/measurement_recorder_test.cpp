#include <catch2/catch.hpp>

#include "decision/slots/measurement_recorder.h"
#include "support/control_fixture.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    class measurement_recorder_fixture {
    protected:
        void note(slot_result::kind ended, duration latency = {})
        {
            slot_result result;
            result.ended = ended;
            result.latency = latency;
            subject.note(bookingUpstream("u", 9001), result);
        }

        measurement_recorder subject;
    };

} // namespace

TEST_CASE_METHOD(
    measurement_recorder_fixture, "measurements.results_of_one_service_and_failure_domain.are_summed_and_taken_once")
{
    for (int i = 1; i <= 100; ++i)
        note(slot_result::kind::Answered, i * 1ms);
    note(slot_result::kind::Shed);
    note(slot_result::kind::Timeout);
    note(slot_result::kind::Unused);
    note(slot_result::kind::Cancelled);
    const std::vector<service_measurement> taken = subject.take();
    REQUIRE(taken.size() == 1);
    REQUIRE(taken[0].answered == 100);
    REQUIRE(taken[0].refused == 1);
    REQUIRE(taken[0].failed == 1);
    REQUIRE(taken[0].medianLatency == 50ms);
    REQUIRE(taken[0].p95Latency == 95ms);
    REQUIRE(subject.take().empty());
}

TEST_CASE_METHOD(measurement_recorder_fixture, "measurements.many_answers.keep_the_latest_latencies")
{
    for (int i = 0; i < 512; ++i)
        note(slot_result::kind::Answered, 1ms);
    for (int i = 0; i < 512; ++i)
        note(slot_result::kind::Answered, 9ms);
    const std::vector<service_measurement> taken = subject.take();
    REQUIRE(taken[0].answered == 1024);
    REQUIRE(taken[0].medianLatency == 9ms);
}

} // namespace plantainlatch
