#include <algorithm>

#include <catch2/catch.hpp>

#include "decision/request/request_durations.h"
#include "decision/request/system_answers.h"
#include "support/log_fields.h"
#include "support/request_cluster.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    constexpr duration usualTime = 200ms;
    constexpr duration longTime = 3s;
    /** Less than the time before the stop that a request of uncertain length must have left. */
    constexpr duration lateInStop = 2600ms;
    constexpr duration callerDeadline = 10s;

    /** An entry whose requests take `usualTime`, and one in ten of them `longTime`. */
    class request_stop_fixture {
    protected:
        request_stop_fixture()
        {
            cluster.upstreams.behaviour = [this](const upstream_call&) {
                const bool takesLong = cluster.upstreams.calls.size() % 10 == 5;
                return call_behaviour { call_behaviour::kind::Answer, takesLong ? longTime : usualTime };
            };
        }

        void serveRequests(int count)
        {
            for (int i = 0; i < count; ++i) {
                send(std::nullopt);
                cluster.runtime.advance(longTime);
            }
        }

        caller_record& send(std::optional<duration> stopsIn, duration deadline = callerDeadline)
        {
            caller_request request;
            request.method = "POST";
            request.target = "/orders";
            request.body = "order " + std::to_string(cluster.sent.size());
            request.deadline = stopsIn ? std::min(deadline, *stopsIn) : deadline;
            request.stopsIn = stopsIn;
            return cluster.send(0, std::move(request));
        }

        const log_event& lastLine(const std::string& what) const
        {
            const auto& lines = cluster.runtime.logLines;
            const auto found = std::find_if(
                lines.rbegin(), lines.rend(), [&what](const log_event& line) { return line.what == what; });
            REQUIRE(found != lines.rend());
            return *found;
        }

        request_cluster cluster { 1, 1, 3, 2 };
    };

} // namespace

TEST_CASE_METHOD(request_stop_fixture, "stop.request_that_may_outlast_it.is_refused_before_it_is_dispatched")
{
    serveRequests(40);
    const std::size_t calls = cluster.upstreams.calls.size();
    cluster.upstreams.behaviour = [](const upstream_call&) {
        return call_behaviour { call_behaviour::kind::Answer, longTime };
    };
    const caller_record& late = send(longTime - 100ms);
    cluster.runtime.advance(callerDeadline);
    REQUIRE(late.answers == 1);
    REQUIRE(late.answer->result == outcome::NotRun);
    REQUIRE(late.answer->reason == answer_reason::Draining);
    REQUIRE(late.answer->retryAfter == otherEntryRetryAfter);
    REQUIRE(cluster.upstreams.calls.size() == calls);
}

TEST_CASE_METHOD(request_stop_fixture, "stop.request_that_usually_ends_before_it.is_served")
{
    serveRequests(40);
    const caller_record& early = send(longTime + 100ms);
    cluster.runtime.advance(callerDeadline);
    REQUIRE(early.answer->result == outcome::Completed);
}

/** A request sent late in a stop was cut off at the end of the stop while its upstream was at work (LOST). */
TEST_CASE_METHOD(
    request_stop_fixture, "stop.request_that_arrives_late_and_may_outlast_it.is_refused_before_its_dispatch")
{
    cluster.upstreams.behaviour = [](const upstream_call&) {
        return call_behaviour { call_behaviour::kind::Answer, usualTime };
    };
    serveRequests(40);
    const std::size_t calls = cluster.upstreams.calls.size();
    const caller_record& late = send(lateInStop);
    cluster.runtime.advance(callerDeadline);
    REQUIRE(late.answer->reason == answer_reason::Draining);
    REQUIRE(late.answer->retryAfter == otherEntryRetryAfter);
    REQUIRE(cluster.upstreams.calls.size() == calls);
    const caller_record& shorter = send(lateInStop, lateInStop - 100ms);
    cluster.runtime.advance(callerDeadline);
    REQUIRE(shorter.answer->result == outcome::Completed);
}

TEST_CASE_METHOD(request_stop_fixture, "stop.request_whose_deadline_ends_before_it.is_served")
{
    serveRequests(40);
    const caller_record& impatient = send(longTime - 100ms, 400ms);
    cluster.runtime.advance(callerDeadline);
    REQUIRE(impatient.answer->result == outcome::Completed);
}

TEST_CASE_METHOD(request_stop_fixture, "stop.request_that_is_cut_off_at_work.is_logged_with_the_limit_that_ended_it")
{
    serveRequests(40);
    cluster.upstreams.behaviour = [](const upstream_call&) {
        return call_behaviour { call_behaviour::kind::Answer, callerDeadline };
    };
    const auto limitedBy = [this](duration stopsIn, duration deadline) {
        send(stopsIn, deadline);
        cluster.runtime.advance(callerDeadline);
        REQUIRE(fieldOf(lastLine("attempt-abandoned"), "failure") == "deadline");
        REQUIRE(fieldOf(lastLine("attempt-abandoned"), "dispatched") == "yes");
        return fieldOf(lastLine("request-answered"), "limited_by");
    };
    REQUIRE(limitedBy(longTime + 100ms, callerDeadline) == "stop");
    REQUIRE(limitedBy(longTime + 100ms, 400ms) == "caller");
}

TEST_CASE_METHOD(request_stop_fixture, "stop.request_of_an_unknown_duration.is_refused")
{
    const caller_record& first = send(longTime);
    cluster.runtime.advance(callerDeadline);
    REQUIRE(first.answer->reason == answer_reason::Draining);
    REQUIRE(cluster.upstreams.calls.empty());
}

TEST_CASE_METHOD(request_stop_fixture, "stop.request_read_after_its_end.is_refused_with_a_time_to_return")
{
    const caller_record& tooLate = send(-1ms);
    REQUIRE(tooLate.answer->result == outcome::NotRun);
    REQUIRE(tooLate.answer->reason == answer_reason::Draining);
    REQUIRE(tooLate.answer->retryAfter == otherEntryRetryAfter);
}

TEST_CASE_METHOD(request_stop_fixture, "stop.retry_that_may_outlast_it.is_not_dispatched")
{
    serveRequests(40);
    const std::size_t calls = cluster.upstreams.calls.size();
    cluster.upstreams.behaviour = [](const upstream_call&) {
        return call_behaviour { call_behaviour::kind::ConnectFailed, 500ms };
    };
    const caller_record& retried = send(longTime + 100ms);
    cluster.runtime.advance(callerDeadline);
    REQUIRE(cluster.upstreams.calls.size() == calls + 1);
    REQUIRE(retried.answer->result == outcome::NotRun);
}

TEST_CASE("request_durations.of_more_routes_than_are_kept.stay_bounded", "[requests]")
{
    request_durations durations;
    for (std::size_t i = 0; i < 3 * request_durations::maximumKinds; ++i) {
        durations.observe({ route_id("route-" + std::to_string(i)), service_id("booking") }, std::chrono::seconds(1));
        REQUIRE(durations.kinds() <= request_durations::maximumKinds);
    }
}

} // namespace plantainlatch
