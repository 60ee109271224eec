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
        static std::uint64_t extraAttempts(const request_cluster& cluster)
        {
            const request_statistics& counts = cluster.entries[0].requests->statistics();
            return counts.retries + counts.hedges;
        }
    };

} // namespace

TEST_CASE_METHOD(request_limits_fixture, "retry_budget.all_calls_fail.stays_within_a_tenth_of_the_requests")
{
    const auto exceeds = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.limitsRetries = [] { return false; };
        request_cluster cluster(1, 1, 3, 2, options);
        cluster.upstreams.behaviour = [](const upstream_call&) {
            return call_behaviour { kind::UnmarkedRefusal, 5ms };
        };
        for (int i = 0; i < 500; ++i) {
            cluster.get(0, "/frames/" + std::to_string(i));
            cluster.runtime.advance(20ms);
        }
        cluster.runtime.advance(2s);
        return extraAttempts(cluster) > 50;
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
        request_cluster cluster(1, 1, 3, 2, options);
        for (int i = 0; i < 100; ++i) {
            cluster.get(0, "/frames/" + std::to_string(i));
            cluster.runtime.advance(50ms);
        }
        const std::size_t before = cluster.upstreams.calls.size();
        cluster.upstreams.behaviour = [&cluster, before](const upstream_call&) {
            return call_behaviour { kind::Answer, cluster.upstreams.calls.size() == before ? 900ms : 20ms };
        };
        const caller_record& sent = cluster.get(0, "/frames/slow");
        cluster.runtime.advance(100ms);
        REQUIRE((!sent.answer || cluster.upstreams.calls[before].cancelled));
        return !sent.answer;
    };
    REQUIRE(slow(true));
    REQUIRE_FALSE(slow(false));
}

TEST_CASE_METHOD(request_limits_fixture, "hedge.slots_scarce.takes_none_from_first_attempts")
{
    const auto hedges = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.allowsHedge = [](bool) { return true; };
        request_cluster cluster(1, 1, 3, 1, options);
        for (int i = 0; i < 300; ++i) {
            cluster.upstreams.behaviour = [i](const upstream_call&) {
                return call_behaviour { kind::Answer, i % 30 != 0 ? 30ms : 200ms };
            };
            cluster.get(0, "/frames/" + std::to_string(i));
            cluster.runtime.advance(11ms);
        }
        return extraAttempts(cluster) > 0;
    };
    REQUIRE(hedges(true));
    REQUIRE_FALSE(hedges(false));
}

TEST_CASE_METHOD(request_limits_fixture, "dispatch.little_time_left.is_refused_as_not_run_instead_of_ending_unknown")
{
    const auto endsUnknown = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.shouldStartCall = [](const dispatch_timing&) { return true; };
        request_cluster cluster(1, 1, 1, 1, options);
        cluster.upstreams.behaviour = [](const upstream_call&) { return call_behaviour { kind::Answer, 950ms }; };
        cluster.post(0, "first");
        const caller_record& second = cluster.post(0, "second");
        cluster.runtime.advance(2s);
        return second.answer->result == outcome::Unknown;
    };
    REQUIRE(endsUnknown(true));
    REQUIRE_FALSE(endsUnknown(false));
}

TEST_CASE_METHOD(request_limits_fixture, "timeout.of_a_call_with_a_short_deadline.does_not_count_against_the_upstream")
{
    const auto countsAgainstUpstream = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.countsAgainstUpstream = [](const dispatch_timing&) { return true; };
        request_cluster cluster(1, 1, 1, 1, options);
        cluster.upstreams.behaviour = [](const upstream_call&) { return call_behaviour { kind::Answer, 300ms }; };
        for (int i = 0; i < 40; ++i) {
            cluster.post(0, std::to_string(i));
            cluster.runtime.advance(400ms);
        }
        caller_request shortRequest;
        shortRequest.method = "POST";
        shortRequest.target = "/orders";
        shortRequest.deadline = 100ms;
        cluster.send(0, shortRequest);
        cluster.runtime.advance(1s);
        return cluster.upstreams.released.back().ended == slot_result::kind::Timeout;
    };
    REQUIRE(countsAgainstUpstream(true));
    REQUIRE_FALSE(countsAgainstUpstream(false));
}

TEST_CASE_METHOD(request_limits_fixture,
    "dispatch.upstreams_became_slow.timeouts_raise_the_expected_latency_and_late_requests_are_refused")
{
    const auto endsUnknown = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.recordsTimeoutLatencies = [] { return false; };
        request_cluster cluster(1, 1, 1, 1, options);
        cluster.upstreams.behaviour = [](const upstream_call&) { return call_behaviour { kind::Answer, 100ms }; };
        for (int i = 0; i < 64; ++i) {
            cluster.post(0, "fast-" + std::to_string(i));
            cluster.runtime.advance(200ms);
        }
        cluster.upstreams.behaviour = [](const upstream_call&) { return call_behaviour { kind::Answer, 700ms }; };
        for (int i = 0; i < 200; ++i) {
            cluster.post(0, "slow-" + std::to_string(i));
            cluster.runtime.advance(350ms);
        }
        cluster.runtime.advance(2s);
        const std::size_t last = cluster.sent.size() - 40;
        return std::any_of(cluster.sent.begin() + static_cast<std::ptrdiff_t>(last), cluster.sent.end(),
            [](const auto& sent) { return sent->answer->result == outcome::Unknown; });
    };
    REQUIRE(endsUnknown(true));
    REQUIRE_FALSE(endsUnknown(false));
}

TEST_CASE_METHOD(request_limits_fixture, "admission.invalid_or_excess_requests.are_refused_without_a_call")
{
    request_options options;
    options.maximumRequests = 2;
    request_cluster cluster(1, 1, 1, 1, options);
    caller_request unknown;
    unknown.service = service_id("nowhere");
    REQUIRE(cluster.send(0, unknown).answer->content.status == 404);
    // Without a current configuration, the VM cannot tell that a service does not exist; other VMs may know it.
    cluster.entries[0].log->isCurrent = false;
    REQUIRE(cluster.send(0, unknown).answer->reason == answer_reason::NotReady);
    cluster.entries[0].log->isCurrent = true;
    REQUIRE(cluster.post(0, std::string(1025, 'x')).answer->content.status == 413);
    REQUIRE(cluster.upstreams.calls.empty());
    cluster.get(0, "/a");
    cluster.get(0, "/b");
    const caller_record& third = cluster.get(0, "/c");
    REQUIRE(third.answer->reason == answer_reason::Overloaded);
    REQUIRE(third.answer->result == outcome::NotRun);
}

TEST_CASE_METHOD(request_limits_fixture, "stop.request_within_the_cache_time.is_served_and_later_ones_are_refused")
{
    const auto fails = [](bool broken) {
        request_options options;
        if (broken)
            options.policies.refusesWhileStopping = [] { return false; };
        request_cluster cluster(1, 1, 3, 2, options);
        cluster.upstreams.behaviour = [](const upstream_call&) { return call_behaviour { kind::Answer, 500ms }; };
        bool stopped = false;
        cluster.entries[0].core->stop([&] { stopped = true; });
        cluster.runtime.advance(1900ms);
        const caller_record& early = cluster.post(0, "early", "k");
        REQUIRE_FALSE(early.answer);
        cluster.runtime.advance(150ms);
        const caller_record& late = cluster.get(0, "/late");
        const bool refused = late.answer && late.answer->reason == answer_reason::Draining;
        REQUIRE_FALSE(stopped);
        cluster.runtime.advance(2s);
        REQUIRE(early.answer->result == outcome::Completed);
        return !stopped || !refused || cluster.entries[0].requests->requestsInFlight() != 0;
    };
    REQUIRE(breaksInvariant([&] { return fails(true); }));
    REQUIRE_FALSE(breaksInvariant([&] { return fails(false); }));
}

} // namespace plantainlatch
