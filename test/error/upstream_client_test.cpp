#include <optional>

#include <catch2/catch.hpp>

#include "error/full_listener.h"
#include "error/loop_fixture.h"
#include "error/raw_upstream.h"
#include "services/upstream_client.h"

namespace plantainlatch {

namespace {

    constexpr const char* smallAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nlight";

    constexpr std::size_t headerLimit = 16 * 1024;
    constexpr std::size_t bodyLimit = 256 * 1024;
    constexpr std::size_t receivedLimit = 400 * 1024;

    /** The callbacks that one call received. */
    struct call_record {
        int dispatches = 0;
        std::optional<upstream_answer> answer;
        std::optional<call_failure> failure;

        bool ended() const { return answer.has_value() || failure.has_value(); }
    };

    class upstream_client_fixture : protected loop_fixture {
    protected:
        upstream_client_fixture()
        {
            upstream_client_options options;
            options.connections.idleReuse = std::chrono::milliseconds(300);
            options.connectTimeout = std::chrono::milliseconds(500);
            options.connections.maximumAnswerHeaders = byte_count(headerLimit);
            options.connections.maximumAnswerBody = byte_count(bodyLimit);
            options.connections.maximumReceived = byte_count(receivedLimit);
            subject = upstream_client::create(loop->base(), hooks, options);
        }

        upstream_call callTo(const network_address& address, duration timeout = std::chrono::seconds(2))
        {
            upstream_call call;
            call.id = call_id(++lastCall);
            call.address = address;
            call.method = "GET";
            call.target = "/courts/7";
            call.timeout = timeout;
            call.connectionLimit = 2;
            return call;
        }

        call_events recordIn(call_record& record)
        {
            call_events events;
            events.onDispatch = [&record] { ++record.dispatches; };
            events.onAnswer = [&record](upstream_answer answer) {
                REQUIRE_FALSE(record.ended());
                REQUIRE(record.dispatches == 1);
                record.answer = std::move(answer);
            };
            events.onFailure = [&record](call_failure failure) {
                REQUIRE_FALSE(record.ended());
                record.failure = failure;
            };
            return events;
        }

        call_record run(upstream_call call)
        {
            call_record record;
            subject->port().start(std::move(call), recordIn(record));
            runUntil([&] { return record.ended(); });
            return record;
        }

        call_record runAgainst(const std::string& bytes, bool closeAfter)
        {
            upstream.onRequest = [=, this](std::size_t connection, const std::string&) {
                upstream.send(connection, bytes);
                if (closeAfter)
                    upstream.close(connection);
            };
            return run(callTo(upstream.address(), std::chrono::milliseconds(200)));
        }

        /** Lets the upstream begin with `head` and then send `part` without end until the client closes. */
        call_record runAgainstEndless(const std::string& head, const std::string& part)
        {
            std::size_t sent = 0;
            upstream.onRequest = [&, this](std::size_t connection, const std::string&) {
                upstream.send(connection, head);
                const std::size_t closedBefore = upstream.closedByPeer;
                sendMore = [&, this, connection, closedBefore] {
                    if (upstream.closedByPeer != closedBefore)
                        return;
                    upstream.send(connection, part);
                    sent += part.size();
                    hooks.schedule(std::chrono::microseconds(100), sendMore);
                };
                sendMore();
            };
            call_record record = run(callTo(upstream.address(), std::chrono::minutes(1)));
            REQUIRE(sent < 100 * (headerLimit + bodyLimit));
            return record;
        }

        raw_upstream upstream { loop->base() };
        std::function<void()> sendMore;
        std::unique_ptr<upstream_client> subject;
        std::uint64_t lastCall = 0;
    };

} // namespace

TEST_CASE_METHOD(
    upstream_client_fixture, "upstream_client.complete_answers.share_one_connection_and_drop_hop_by_hop_fields")
{
    upstream.onRequest = [&](std::size_t connection, const std::string&) {
        upstream.send(connection, "HTTP/1.1 200 OK\r\nKeep-Alive: 5\r\nX-Court: 7\r\nContent-Length: 5\r\n\r\nlight");
    };
    upstream_call call = callTo(upstream.address());
    call.method = "POST";
    call.body = "on";
    call.headers = { { "Upgrade", "h2c" }, { "X-Club", "kokura" } };
    const call_record first = run(call);
    REQUIRE(first.answer);
    REQUIRE(first.answer->body == "light");
    REQUIRE(first.answer->headers.size() == 1);
    REQUIRE(run(callTo(upstream.address())).answer);
    REQUIRE(upstream.accepted == 1);
    REQUIRE_THAT(upstream.requests[0], Catch::Contains("X-Request-Timeout: 2.000\r\n"));
    REQUIRE_THAT(upstream.requests[0], Catch::Contains("X-Club: kokura\r\n") && !Catch::Contains("Upgrade"));
    REQUIRE_THAT(upstream.requests[0], Catch::EndsWith("\r\n\r\non"));
}

TEST_CASE_METHOD(upstream_client_fixture, "upstream_client.refused_connection.fails_to_connect_without_a_dispatch")
{
    upstream.stopListening();
    const call_record record = run(callTo(upstream.address()));
    REQUIRE(record.failure == call_failure::ConnectFailed);
    REQUIRE(record.dispatches == 0);
}

TEST_CASE_METHOD(
    upstream_client_fixture, "upstream_client.connection_established_after_the_dispatch_timeout.carries_no_byte")
{
    duration clockOffset {};
    kernel_hooks offsetHooks = hooks;
    offsetHooks.now = [&] { return hooks.now() + clockOffset; };
    subject = upstream_client::create(loop->base(), offsetHooks);
    upstream_call call = callTo(upstream.address());
    call.dispatchTimeout = std::chrono::milliseconds(100);
    call_record record;
    subject->port().start(call, recordIn(record));
    clockOffset = std::chrono::milliseconds(200);
    runUntil([&] { return record.ended(); });
    REQUIRE(record.failure == call_failure::ConnectFailed);
    REQUIRE(record.dispatches == 0);
    runUntil([&] { return upstream.closedByPeer == 1; });
    REQUIRE(upstream.requests.empty());
    subject.reset();
}

TEST_CASE_METHOD(upstream_client_fixture, "upstream_client.incomplete_or_invalid_answers.fail_and_close_the_connection")
{
    const auto [bytes, expected] = GENERATE(table<std::string, call_failure>({
        { "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nlight", call_failure::Lost },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nlight\r\n", call_failure::Lost },
        { "HTTP/1.1 200 OK\r\nX-Half", call_failure::Lost },
        { "", call_failure::Lost },
        { "HTTP/1.1 200 OK\r\n\r\nuntil the end", call_failure::Malformed },
        { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nlight", call_failure::Malformed },
        { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Plantainlatch-Call: 1-1\r\n\r\nlight", call_failure::OtherAnswer },
        { "no http at all\r\n\r\n", call_failure::Malformed },
    }));
    const call_record record = runAgainst(bytes, true);
    CAPTURE(bytes);
    REQUIRE(record.failure == expected);
    REQUIRE(record.dispatches == 1);
    REQUIRE(runAgainst(smallAnswer, false).answer);
    REQUIRE(upstream.accepted == 2);
}

TEST_CASE_METHOD(upstream_client_fixture, "upstream_client.informational_answers.are_skipped_up_to_the_final_one")
{
    const std::string informational = GENERATE("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nX-Court: 7\r\nContent-Length: 9\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n");
    const duration pause = GENERATE(duration::zero(), duration(std::chrono::milliseconds(20)));
    CAPTURE(informational, pause.count());
    upstream.onRequest = [&](std::size_t connection, const std::string&) {
        if (pause == duration::zero()) {
            upstream.send(connection, informational + smallAnswer);
            return;
        }
        upstream.send(connection, informational);
        hooks.schedule(pause, [&, connection] { upstream.send(connection, smallAnswer); });
    };
    const call_record record = run(callTo(upstream.address()));
    REQUIRE(record.answer);
    CHECK(record.answer->status == 200);
    CHECK(record.answer->body == "light");
    CHECK(record.answer->headers.empty());
    REQUIRE(run(callTo(upstream.address())).answer);
    REQUIRE(upstream.accepted == 1);
}

TEST_CASE_METHOD(upstream_client_fixture, "upstream_client.answer_without_end.fails_before_its_time_out")
{
    const std::string part(8 * 1024, 'x');
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string head;
    std::string repeated = part;
    SECTION("status line") { head = "HTTP/1.1 200 "; }
    SECTION("header field") { head = "HTTP/1.1 200 OK\r\nX-Court: "; }
    SECTION("header fields")
    {
        head = "HTTP/1.1 200 OK\r\n";
        repeated = "X-Court: 7\r\nX-Court: 8\r\nX-Court: 9\r\n";
    }
    SECTION("body that the close ends") { head = "HTTP/1.1 200 OK\r\n\r\n"; }
    SECTION("chunk extension") { head = chunked + "5;extension="; }
    SECTION("chunks")
    {
        head = chunked;
        repeated = "1000\r\n" + std::string(4096, 'x') + "\r\n";
    }
    SECTION("trailer field") { head = chunked + "0\r\nX-Court: "; }
    REQUIRE(runAgainstEndless(head, repeated).failure);
}

// Guards against upstreams that send without end on many connections at once, until the VM is out of memory.
TEST_CASE_METHOD(upstream_client_fixture, "upstream_client.incomplete_answers_too_large_together.end_the_largest")
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bodyLimit) + "\r\n\r\n";
    const std::size_t missing = 100 * 1024;
    std::vector<std::size_t> connections;
    upstream.onRequest = [&, this](std::size_t connection, const std::string&) {
        connections.push_back(connection);
        const std::size_t kept = connections.size() == 1 ? missing : 1;
        upstream.send(connection, head + std::string(bodyLimit - kept, 'x'));
    };
    call_record smaller;
    call_record larger;
    subject->port().start(callTo(upstream.address()), recordIn(smaller));
    runUntil([&] { return connections.size() == 1; });
    runFor(std::chrono::milliseconds(50));
    subject->port().start(callTo(upstream.address()), recordIn(larger));
    runUntil([&] { return larger.ended(); });
    REQUIRE(larger.failure == call_failure::Malformed);
    REQUIRE_FALSE(smaller.ended());
    upstream.send(connections.front(), std::string(missing, 'x'));
    runUntil([&] { return smaller.ended(); });
    REQUIRE(smaller.answer->body.size() == bodyLimit);
    upstream.onRequest = [this](std::size_t connection, const std::string&) { upstream.send(connection, smallAnswer); };
    REQUIRE(run(callTo(upstream.address())).answer.has_value());
}

TEST_CASE_METHOD(upstream_client_fixture, "upstream_client.call_name_sent_by_the_caller.is_not_passed_on")
{
    std::string received;
    upstream.onRequest = [&](std::size_t connection, const std::string& text) {
        received = text;
        upstream.send(connection, smallAnswer);
    };
    upstream_call call = callTo(upstream.address());
    call.headers = { { "x-plantainlatch-call", "forged" }, { "X-Request-Timeout", "77" }, { "X-Kept", "yes" } };
    const call_record record = run(std::move(call));
    REQUIRE(record.answer.has_value());
    CHECK_THAT(received,
        Catch::Contains("X-Kept: yes") && !Catch::Contains("forged") && !Catch::Contains("X-Request-Timeout: 77"));
}

TEST_CASE_METHOD(upstream_client_fixture, "upstream_client.connection_established_after_the_call_ended.carries_no_byte")
{
    // The call ends while its connection is being established. The listener then accepts it within onFailure, before
    // the client frees the connection in the next loop iteration: evhttp must not send the request at that point.
    full_listener listener;
    call_events events;
    std::optional<call_failure> failure;
    events.onFailure = [&](call_failure why) {
        failure = why;
        listener.makeRoom();
        listener.acceptWithin(std::chrono::milliseconds(1500));
    };
    upstream_call call = callTo(listener.address());
    call.dispatchTimeout = std::chrono::milliseconds(100);
    subject->port().start(std::move(call), std::move(events));
    runUntil([&] { return failure.has_value(); });
    REQUIRE(failure == call_failure::ConnectFailed);
    runFor(std::chrono::milliseconds(20));
    REQUIRE(listener.received().empty());
}

TEST_CASE_METHOD(upstream_client_fixture, "upstream_client.late_answer.times_out_and_never_reaches_the_next_call")
{
    upstream.onRequest = [&](std::size_t connection, const std::string&) {
        if (connection == 0)
            hooks.schedule(std::chrono::milliseconds(60), [&] { upstream.send(0, smallAnswer); });
        else
            upstream.send(connection, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext");
    };
    const call_record late = run(callTo(upstream.address(), std::chrono::milliseconds(50)));
    REQUIRE(late.failure == call_failure::Timeout);
    REQUIRE(late.dispatches == 1);
    const call_record next = run(callTo(upstream.address()));
    REQUIRE(next.answer->body == "next");
    REQUIRE(upstream.accepted == 2);
}

TEST_CASE_METHOD(upstream_client_fixture, "upstream_client.unsolicited_answer_on_an_idle_connection.closes_it")
{
    // Two answers to one request: the second one must not be taken for the answer to the next request.
    REQUIRE(runAgainst(std::string(smallAnswer) + smallAnswer, false).answer);
    REQUIRE(runAgainst("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext", false).answer->body == "next");
    REQUIRE(upstream.accepted == 2);
    // Bytes that arrive while the connection is idle must not be taken for the answer to the next request either.
    upstream.send(1, smallAnswer);
    runFor(std::chrono::milliseconds(20));
    REQUIRE(runAgainst("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nthird", false).answer->body == "third");
    REQUIRE(upstream.accepted == 3);
}

TEST_CASE_METHOD(upstream_client_fixture, "upstream_client.connection_idle_beyond_the_reuse_limit.is_not_reused")
{
    REQUIRE(runAgainst(smallAnswer, false).answer);
    runFor(std::chrono::milliseconds(400));
    REQUIRE(runAgainst(smallAnswer, false).answer);
    REQUIRE(upstream.accepted == 2);
}

TEST_CASE_METHOD(upstream_client_fixture, "upstream_client.request_for_a_fresh_connection.opens_one")
{
    REQUIRE(runAgainst(smallAnswer, false).answer);
    upstream_call call = callTo(upstream.address());
    call.freshConnection = true;
    REQUIRE(run(call).answer);
    REQUIRE(upstream.accepted == 2);
}

TEST_CASE_METHOD(
    upstream_client_fixture, "upstream_client.call_beyond_the_connection_limit.is_refused_without_a_dispatch")
{
    call_record first;
    call_record second;
    subject->port().start(callTo(upstream.address()), recordIn(first));
    subject->port().start(callTo(upstream.address()), recordIn(second));
    const call_record third = run(callTo(upstream.address()));
    REQUIRE(third.failure == call_failure::ConnectionLimit);
    REQUIRE(third.dispatches == 0);
    subject.reset();
}

TEST_CASE_METHOD(upstream_client_fixture, "upstream_client.cancelled_call.closes_its_connection_without_a_callback")
{
    call_record record;
    const upstream_call call = callTo(upstream.address());
    subject->port().start(call, recordIn(record));
    runUntil([&] { return !upstream.requests.empty(); });
    subject->port().cancel(call.id);
    subject->port().cancel(call.id);
    runUntil([&] { return upstream.closedByPeer == 1; });
    REQUIRE_FALSE(record.ended());
}

// Guards against a request that its call has given up, but that waits in the network and runs at its upstream later.
TEST_CASE_METHOD(upstream_client_fixture, "upstream_client.call_that_ends_without_an_answer.resets_its_connection")
{
    const bool isCancelled = GENERATE(true, false);
    call_record record;
    const upstream_call call = callTo(upstream.address(), std::chrono::milliseconds(100));
    subject->port().start(call, recordIn(record));
    runUntil([&] { return !upstream.requests.empty(); });
    if (isCancelled)
        subject->port().cancel(call.id);
    runUntil([&] { return upstream.closedByPeer == 1; });
    REQUIRE(upstream.resetByPeer == 1);
}

TEST_CASE_METHOD(upstream_client_fixture, "upstream_client.connection_after_an_answer.is_closed_without_a_reset")
{
    REQUIRE(runAgainst(smallAnswer, false).answer);
    subject->port().closeIdleConnections(upstream.address());
    runUntil([&] { return upstream.closedByPeer == 1; });
    REQUIRE(upstream.resetByPeer == 0);
}

// Guards against the same at the end of the process, which ends calls without any other sign.
TEST_CASE_METHOD(upstream_client_fixture, "upstream_client.destroyed_during_a_call.resets_the_connection")
{
    call_record record;
    subject->port().start(callTo(upstream.address()), recordIn(record));
    runUntil([&] { return !upstream.requests.empty(); });
    subject.reset();
    runUntil([&] { return upstream.closedByPeer == 1; });
    REQUIRE(upstream.resetByPeer == 1);
}

TEST_CASE_METHOD(upstream_client_fixture, "upstream_client.polled_upstream.reports_health_and_load_or_fails")
{
    std::string load = R"({"running":2,"queued":1,"draining":true})";
    upstream.onRequest = [&](std::size_t connection, const std::string& request) {
        const std::string body = request.starts_with("GET /load ") ? load : "";
        upstream.send(connection,
            "HTTP/1.1 " + std::string(body.empty() ? "503 Busy" : "200 OK")
                + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    };
    std::optional<absl::StatusOr<load_report>> report;
    const auto poll = [&] {
        report.reset();
        subject->port().poll(upstream.address(), std::chrono::milliseconds(200),
            [&](absl::StatusOr<load_report> result) { report = std::move(result); });
        runUntil([&] { return report.has_value(); });
    };
    poll();
    REQUIRE(report->ok());
    REQUIRE_FALSE((*report)->healthy);
    REQUIRE((*report)->draining);
    REQUIRE((*report)->running == 2);
    load = R"({"running":"many"})";
    poll();
    REQUIRE(report->status().code() == absl::StatusCode::kUnavailable);
    upstream.onRequest = nullptr;
    poll();
    REQUIRE(report->status().code() == absl::StatusCode::kDeadlineExceeded);
}

} // namespace plantainlatch
