#include <optional>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "error/loop_fixture.h"
#include "error/raw_upstream.h"
#include "services/upstream_client.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t kibibyte = 1024;
    constexpr std::size_t largeRoom = 1024 * kibibyte;

    /** A client whose budget has 1 MiB for large holdings and 200 KiB for an answer without other room. */
    class upstream_memory_fixture : protected loop_fixture {
    protected:
        upstream_memory_fixture()
        {
            upstream_client_options options;
            options.budget = &budget;
            subject = upstream_client::create(loop->base(), hooks, options);
            upstream.onRequest
                = [this](std::size_t connection, const std::string&) { upstream.send(connection, answer); };
        }

        static std::string answerOf(std::size_t size, std::size_t missing = 0)
        {
            return absl::StrCat(
                "HTTP/1.1 200 OK\r\nContent-Length: ", size, "\r\n\r\n", std::string(size - missing, 'a'));
        }

        /** Starts a call, which is numbered from 1. */
        void start(duration timeout = 3s)
        {
            upstream_call call;
            call.id = call_id(++lastCall);
            call.address = upstream.address();
            call.method = "GET";
            call.target = "/";
            call.timeout = timeout;
            call.connectionLimit = 10;
            call_events events;
            events.onAnswer = [this](const upstream_answer& received) { bodySizes.push_back(received.body.size()); };
            events.onFailure = [this](call_failure failure) { failures.push_back(failure); };
            subject->port().start(std::move(call), std::move(events));
        }

        buffer_budget budget { hooks,
            { byte_count(largeRoom), byte_count(64 * kibibyte), byte_count(200 * kibibyte), byte_count(0) } };
        buffer_lease others { budget, buffer_use::Request, {} };
        raw_upstream upstream { loop->base() };
        std::string answer;
        std::uint64_t lastCall = 0;
        std::vector<std::size_t> bodySizes;
        std::vector<call_failure> failures;
        std::unique_ptr<upstream_client> subject;
    };

} // namespace

// Guards against answers that take memory which nobody counts.
TEST_CASE_METHOD(upstream_memory_fixture, "upstream_client.incomplete_answer.counts_with_its_stated_length")
{
    answer = answerOf(600 * kibibyte, 500 * kibibyte);
    start(500ms);
    runUntil([&] { return budget.held(buffer_use::UpstreamAnswer) >= 600 * kibibyte; });
    runUntil([&] { return !failures.empty(); });
    REQUIRE(budget.held() == 0);
}

TEST_CASE_METHOD(upstream_memory_fixture, "upstream_client.answer_without_room.is_read_once_there_is_room")
{
    REQUIRE(others.resize(largeRoom, false));
    answer = answerOf(600 * kibibyte);
    start();
    runFor(200ms);
    REQUIRE(bodySizes.empty());
    others.release();
    runUntil([&] { return !bodySizes.empty(); });
    REQUIRE(bodySizes.front() == 600 * kibibyte);
    REQUIRE(budget.held() == 0);
}

// Without it, a request whose own body fills the room would wait for its answer until its deadline.
TEST_CASE_METHOD(upstream_memory_fixture, "upstream_client.answer_beside_a_full_room.has_room_of_its_own")
{
    REQUIRE(others.resize(largeRoom, false));
    answer = answerOf(150 * kibibyte);
    start();
    runUntil([&] { return !bodySizes.empty(); });
}

// Guards against answers that wait for each other's memory until their deadlines.
TEST_CASE_METHOD(upstream_memory_fixture, "upstream_client.answer_without_progress.is_given_up_for_another")
{
    answer = answerOf(900 * kibibyte, 1);
    start();
    runUntil([&] { return budget.held() >= 900 * kibibyte; });
    answer = answerOf(800 * kibibyte);
    start();
    runUntil([&] { return !bodySizes.empty(); });
    REQUIRE(bodySizes.front() == 800 * kibibyte);
    REQUIRE(failures == std::vector { call_failure::Malformed });
    REQUIRE(budget.held() == 0);
}

TEST_CASE_METHOD(upstream_memory_fixture, "upstream_client.call_that_is_cancelled.returns_its_memory")
{
    REQUIRE(others.resize(largeRoom - 100 * kibibyte, false));
    answer = answerOf(600 * kibibyte, 1);
    start();
    runFor(100ms);
    subject->port().cancel(call_id(lastCall));
    runFor(50ms);
    REQUIRE(budget.held(buffer_use::UpstreamAnswer) == 0);
}

} // namespace plantainlatch
