#include <algorithm>

#include <catch2/catch.hpp>

#include "support/broken_invariant.h"
#include "support/request_cluster.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;
    using kind = call_behaviour::kind;

    class request_limits_fixture {
    protected:
        static std::uint64_t extraAttempts(const request_cluster& world)
        {
            const request_statistics& counts = world.entries[0].requests->statistics();
            return counts.retries + counts.hedges;
        }
    };

} // namespace

TEST_CASE_METHOD(request_limits_fixture, "retry_budget.total_failure.stays_within_a_tenth_of_the_requests")
{
    const auto exceeds = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.budgeted = [] { return false; };
        request_cluster world(1, 1, 3, 2, options);
        world.upstreams.behaviour = [](const upstream_call&) { return call_behaviour { kind::BareRefusal, 5ms }; };
        for (int i = 0; i < 500; ++i) {
            world.get(0, "/frames/" + std::to_string(i));
            world.runtime.advance(20ms);
        }
        world.runtime.advance(2s);
        return extraAttempts(world) > 50;
    };
    REQUIRE(exceeds(true));
    REQUIRE_FALSE(exceeds(false));
}

TEST_CASE_METHOD(request_limits_fixture, "hedge.one_slow_answer.is_overtaken_by_a_second_attempt")
{
    const auto slow = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.hedges = [](const request_traits&) { return false; };
        request_cluster world(1, 1, 3, 2, options);
        for (int i = 0; i < 100; ++i) {
            world.get(0, "/frames/" + std::to_string(i));
            world.runtime.advance(50ms);
        }
        const std::size_t before = world.upstreams.calls.size();
        world.upstreams.behaviour = [&world, before](const upstream_call&) {
            return call_behaviour { kind::Answer, world.upstreams.calls.size() == before ? 900ms : 20ms };
        };
        const caller_record& sent = world.get(0, "/frames/slow");
        world.runtime.advance(100ms);
        REQUIRE((!sent.answer || world.upstreams.calls[before].cancelled));
        return !sent.answer;
    };
    REQUIRE(slow(true));
    REQUIRE_FALSE(slow(false));
}

TEST_CASE_METHOD(request_limits_fixture, "hedge.slots_short.takes_none_from_first_attempts")
{
    const auto hedges = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.hasRoomToHedge = [](bool) { return true; };
        request_cluster world(1, 1, 3, 1, options);
        for (int i = 0; i < 300; ++i) {
            world.upstreams.behaviour = [i](const upstream_call&) {
                return call_behaviour { kind::Answer, i % 30 != 0 ? 30ms : 200ms };
            };
            world.get(0, "/frames/" + std::to_string(i));
            world.runtime.advance(11ms);
        }
        return extraAttempts(world) > 0;
    };
    REQUIRE(hedges(true));
    REQUIRE_FALSE(hedges(false));
}

TEST_CASE_METHOD(request_limits_fixture, "dispatch.little_time_left.is_refused_as_not_run_instead_of_ending_unknown")
{
    const auto endsUnknown = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.worthStarting = [](const dispatch_timing&) { return true; };
        request_cluster world(1, 1, 1, 1, options);
        world.upstreams.behaviour = [](const upstream_call&) { return call_behaviour { kind::Answer, 950ms }; };
        world.post(0, "first");
        const caller_record& second = world.post(0, "second");
        world.runtime.advance(2s);
        return second.answer->result == outcome::Unknown;
    };
    REQUIRE(endsUnknown(true));
    REQUIRE_FALSE(endsUnknown(false));
}

TEST_CASE_METHOD(request_limits_fixture, "timeout.of_a_call_with_a_short_deadline.does_not_blame_the_upstream")
{
    const auto blames = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.blamesUpstream = [](const dispatch_timing&) { return true; };
        request_cluster world(1, 1, 1, 1, options);
        world.upstreams.behaviour = [](const upstream_call&) { return call_behaviour { kind::Answer, 300ms }; };
        for (int i = 0; i < 40; ++i) {
            world.post(0, std::to_string(i));
            world.runtime.advance(400ms);
        }
        caller_request hasty;
        hasty.method = "POST";
        hasty.target = "/orders";
        hasty.deadline = 100ms;
        world.send(0, hasty);
        world.runtime.advance(1s);
        return world.upstreams.released.back().ended == slot_result::kind::Timeout;
    };
    REQUIRE(blames(true));
    REQUIRE_FALSE(blames(false));
}

TEST_CASE_METHOD(
    request_limits_fixture, "dispatch.upstreams_grown_slow.is_learned_from_timeouts_and_late_work_is_refused")
{
    const auto keepsTrying = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.learnsFromTimeouts = [] { return false; };
        request_cluster world(1, 1, 1, 1, options);
        world.upstreams.behaviour = [](const upstream_call&) { return call_behaviour { kind::Answer, 100ms }; };
        for (int i = 0; i < 64; ++i) {
            world.post(0, "fast-" + std::to_string(i));
            world.runtime.advance(200ms);
        }
        world.upstreams.behaviour = [](const upstream_call&) { return call_behaviour { kind::Answer, 700ms }; };
        for (int i = 0; i < 200; ++i) {
            world.post(0, "slow-" + std::to_string(i));
            world.runtime.advance(350ms);
        }
        world.runtime.advance(2s);
        const std::size_t last = world.sent.size() - 40;
        return std::any_of(world.sent.begin() + static_cast<std::ptrdiff_t>(last), world.sent.end(),
            [](const auto& sent) { return sent->answer->result == outcome::Unknown; });
    };
    REQUIRE(keepsTrying(true));
    REQUIRE_FALSE(keepsTrying(false));
}

TEST_CASE_METHOD(request_limits_fixture, "admission.unfit_requests.are_refused_without_a_call")
{
    request_options options;
    options.maximumRequests = 2;
    request_cluster world(1, 1, 1, 1, options);
    caller_request unknown;
    unknown.service = service_id("nowhere");
    REQUIRE(world.send(0, unknown).answer->content.status == 404);
    // Without a declaration, or a leader, the VM can't say that a service is unknown; others may know it.
    world.entries[0].log->isCurrent = false;
    REQUIRE(world.send(0, unknown).answer->reason == answer_reason::NotReady);
    world.entries[0].log->isCurrent = true;
    REQUIRE(world.post(0, std::string(1025, 'x')).answer->content.status == 413);
    REQUIRE(world.upstreams.calls.empty());
    world.get(0, "/a");
    world.get(0, "/b");
    const caller_record& third = world.get(0, "/c");
    REQUIRE(third.answer->reason == answer_reason::Overloaded);
    REQUIRE(third.answer->result == outcome::NotRun);
}

TEST_CASE_METHOD(request_limits_fixture, "stop.request_within_the_cache_time.is_served_and_later_ones_are_refused")
{
    const auto cutsOff = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.refusesWhileStopping = [] { return false; };
        request_cluster world(1, 1, 3, 2, options);
        world.upstreams.behaviour = [](const upstream_call&) { return call_behaviour { kind::Answer, 500ms }; };
        bool stopped = false;
        world.entries[0].core->stop([&] { stopped = true; });
        world.runtime.advance(1900ms);
        const caller_record& early = world.post(0, "early", "k");
        REQUIRE_FALSE(early.answer);
        world.runtime.advance(150ms);
        const caller_record& late = world.get(0, "/late");
        const bool refused = late.answer && late.answer->reason == answer_reason::Draining;
        REQUIRE_FALSE(stopped);
        world.runtime.advance(2s);
        REQUIRE(early.answer->result == outcome::Completed);
        return !stopped || !refused || world.entries[0].requests->requestsInFlight() != 0;
    };
    REQUIRE(breaksInvariant([&] { return cutsOff(true); }));
    REQUIRE_FALSE(breaksInvariant([&] { return cutsOff(false); }));
}

} // namespace plantainlatch
