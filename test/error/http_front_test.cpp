#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "error/loop_fixture.h"
#include "error/raw_client.h"
#include "kernel/kernel.h"
#include "ports/port_names.h"
#include "services/announcement_front.h"
#include "services/caller_front.h"
#include "services/http_server.h"
#include "services/metrics.h"
#include "services/operator_front.h"

namespace plantainlatch {

namespace {

    using Catch::Contains;
    using Catch::EndsWith;
    using Catch::StartsWith;

    /** All front ends, with fakes of the ports that they use. */
    class front_fixture : protected loop_fixture {
    protected:
        front_fixture()
        {
            settings.self.id = vm_id("entry-1");
            settings.limits.maximumBody = byte_count(300);
            settings.limits.maximumHeaders = byte_count(1000);
            settings.lookupCacheTime = std::chrono::milliseconds(50);
            callers = caller_front::create(hooks, settings, { duration::zero() });
            makeFakes();
            server = *http_server::create(loop->base(), hooks, { "127.0.0.1", 0 }, { settings.limits });
            subject->add(fake(port_names::requests, requests));
            subject->add(fake(port_names::entryList, entries));
            subject->add(fake(port_names::directory, directory));
            subject->add(fake(port_names::operators, operators));
            subject->add(server->asService());
            subject->add(numbers->asService());
            subject->add(announcements->asService());
            subject->add(operations->asService());
            subject->add(callers->asService());
            REQUIRE(subject->start().ok());
        }

        template <typename Port> service fake(const char* name, Port& port)
        {
            service item;
            item.name = name;
            item.start = [name, &port](registry& services) { return services.publish(name, port); };
            return item;
        }

        void makeFakes()
        {
            requests.submit = [this](caller_request request, std::function<void(caller_answer)> done) {
                submitted.push_back(std::move(request));
                answers.push_back(std::move(done));
                return request_id(submitted.size());
            };
            requests.cancel = [this](request_id id) { cancelled.push_back(id.value()); };
            entries.list = [this](const failure_domain_id&) {
                ++listCalls;
                entry_list list;
                for (const char* name : { "entry-1", "entry-2" })
                    list.entries.push_back({ { vm_id(name), {}, {}, { "127.0.0.1", 80 }, {}, false }, 1 });
                list.cacheTime = std::chrono::seconds(2);
                return list;
            };
            entries.onChange = [this](std::function<void()> listener) { entriesChanged = std::move(listener); };
            directory.announce
                = [this](upstream_announcement, std::function<void(absl::Status)> done) { done(directoryStatus); };
            directory.leave = [this](upstream_id id, auto, caller_check, std::function<void(absl::Status)> done) {
                left = id.value();
                done(directoryStatus);
            };
            directory.renewalInterval = [] { return std::chrono::seconds(1); };
            operators.drain
                = [](drain_target, bool, bool, caller_check, std::function<void(absl::StatusOr<command_result>)> done) {
                      done(command_result { command_verdict::Refused, "no upstream would be left", {}, {} });
                  };
            operators.status = [] { return system_status {}; };
        }

        std::string ask(const std::string& bytes, std::size_t answerCount = 1)
        {
            raw_client client(loop->base(), server->address());
            client.send(bytes);
            runUntil([&] { return count(client.received, "HTTP/1.1 ") >= answerCount || client.ended; });
            runFor(std::chrono::milliseconds(5));
            return client.received;
        }

        static std::size_t count(const std::string& text, const std::string& part)
        {
            std::size_t found = 0;
            for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
                ++found;
            return found;
        }

        static caller_answer completed(const std::string& body)
        {
            caller_answer answer;
            answer.result = outcome::Completed;
            answer.content = { 200, { { "X-Court", "7" } }, body };
            return answer;
        }

        void answerEachAtOnce()
        {
            requests.submit = [this](caller_request request, const std::function<void(caller_answer)>& done) {
                submitted.push_back(request);
                done(completed(request.target));
                return request_id(submitted.size());
            };
        }

        vm_settings settings;
        request_port requests;
        entry_list_port entries;
        directory_port directory;
        operator_port operators;
        std::vector<caller_request> submitted;
        std::vector<std::function<void(caller_answer)>> answers;
        std::vector<std::uint64_t> cancelled;
        int listCalls = 0;
        std::function<void()> entriesChanged;
        absl::Status directoryStatus;
        std::string left;
        std::unique_ptr<http_server> server;
        std::unique_ptr<metrics> numbers = metrics::create();
        std::unique_ptr<announcement_front> announcements = announcement_front::create();
        std::unique_ptr<kernel> subject = *kernel::create(hooks);
        std::unique_ptr<operator_front> operations = operator_front::create([this] { return subject->dump(); });
        std::unique_ptr<caller_front> callers;
    };

    constexpr const char* announcement
        = R"({"id":"b1","generation":3,"service":"booking","address":"127.0.0.1:81","region":"fukuoka",)"
          R"("failure_domain":"hakata","slots":6,"connections":360})";

    std::string post(const std::string& path, const std::string& body, const std::string& fields = "")
    {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + fields + "Content-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
    }

} // namespace

TEST_CASE_METHOD(
    front_fixture, "caller_front.request_to_a_service.reaches_the_port_and_its_answer_is_returned_unchanged")
{
    raw_client client(loop->base(), server->address());
    client.send(post("/s/booking/courts/7%2F?a=b&c", "on",
        "Idempotency-Key: k-1\r\nX-Request-Timeout: 1.5\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-Plantainlatch-Call: "
        "x\r\nX-Club: kokura\r\n"));
    runUntil([&] { return !answers.empty(); });
    const caller_request& request = submitted.front();
    REQUIRE(request.service.value() == "booking");
    REQUIRE(request.method == "POST");
    REQUIRE(request.target == "/courts/7%2F?a=b&c");
    REQUIRE(request.body == "on");
    REQUIRE(request.deadline == duration(std::chrono::milliseconds(1500)));
    REQUIRE(request.key->value() == "k-1");
    REQUIRE(request.headers.size() == 4);
    answers.front()(completed("light"));
    runUntil([&] { return !client.received.empty(); });
    REQUIRE(client.received
        == "HTTP/1.1 200 OK\r\nX-Court: 7\r\nX-Plantainlatch-Outcome: completed\r\nX-Plantainlatch-Reason: upstream\r\n"
           "Content-Length: 5\r\n\r\nlight");
    REQUIRE(server->inFlight() == 0);
}

TEST_CASE_METHOD(front_fixture, "caller_front.answer_of_the_system.names_outcome_reason_and_retry_time")
{
    raw_client client(loop->base(), server->address());
    client.send("GET /s/booking HTTP/1.1\r\n\r\n");
    runUntil([&] { return !answers.empty(); });
    REQUIRE(submitted.front().target == "/");
    caller_answer refused;
    refused.reason = answer_reason::Overloaded;
    refused.content.status = 503;
    refused.retryAfter = std::chrono::milliseconds(1200);
    answers.front()(refused);
    runUntil([&] { return !client.received.empty(); });
    REQUIRE_THAT(client.received, StartsWith("HTTP/1.1 503 Service Unavailable\r\n"));
    REQUIRE_THAT(
        client.received, Contains("X-Plantainlatch-Outcome: not-run\r\nX-Plantainlatch-Reason: overloaded\r\n"));
    REQUIRE_THAT(client.received, Contains("Retry-After: 2\r\n"));
}

TEST_CASE_METHOD(front_fixture, "caller_front.bad_request.is_answered_as_not_run_and_submits_nothing")
{
    const auto [bytes, status] = GENERATE(table<std::string, std::string>({
        { "NONSENSE\r\n\r\n", "400" },
        { "GET /s/a/ HTTP/1.1\r\nHo st\r\n\r\n", "400" },
        { "GET /s/a/ HTTP/1.1\r\nX: " + std::string(9000, 'x') + "\r\n\r\n", "431" },
        { "GET /s/a/ HTTP/1.1\r\nX: " + std::string(1100, 'x') + "\r\n\r\n", "431" },
        { "POST /s/a/ HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400" },
        { "POST /s/a/ HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", "400" },
        { "POST /s/a/ HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
            "400" },
        { "BREW /s/a/ HTTP/1.1\r\n\r\n", "501" },
        { post("/s/a/", std::string(301, 'x')), "413" },
        { post("/s/a/", std::string(4000, 'x')), "413" },
        { post("/s/a/", "x", "X-Request-Timeout: soon\r\n"), "400" },
        { post("/s/a/", "x", "X-Request-Timeout: -1\r\n"), "400" },
        { post("/s/a/", "x", "Idempotency-Key: " + std::string(256, 'k') + "\r\n"), "400" },
        { "GET /s// HTTP/1.1\r\n\r\n", "400" },
        { "GET /nothing HTTP/1.1\r\n\r\n", "404" },
    }));
    const std::string answer = ask(bytes);
    CAPTURE(bytes.substr(0, 80));
    REQUIRE_THAT(answer, StartsWith("HTTP/1.1 " + status + " "));
    REQUIRE_THAT(answer, Contains("X-Plantainlatch-Outcome: not-run\r\n"));
    REQUIRE(submitted.empty());
}

TEST_CASE_METHOD(front_fixture, "caller_front.pipelined_requests.are_answered_one_by_one_in_order")
{
    raw_client client(loop->base(), server->address());
    client.send("GET /s/a/1 HTTP/1.1\r\n\r\nGET /s/a/2 HTTP/1.1\r\n\r\n");
    runUntil([&] { return submitted.size() == 1; });
    client.send("GET /s/a/3 HTTP/1.1\r\n\r\n");
    runFor(std::chrono::milliseconds(20));
    for (std::size_t i = 0; i < 3; ++i) {
        REQUIRE(submitted.size() == i + 1);
        answers[i](completed(submitted[i].target));
        runUntil([&] {
            return count(client.received, "HTTP/1.1 200") == i + 1
                && submitted.size() == std::min<std::size_t>(i + 2, 3);
        });
        REQUIRE_THAT(client.received, EndsWith("/" + std::to_string(i + 1)));
    }
}

TEST_CASE_METHOD(front_fixture, "caller_front.pipelined_requests_answered_synchronously.are_all_answered")
{
    answerEachAtOnce();
    REQUIRE_THAT(
        ask("GET /s/a/1 HTTP/1.1\r\n\r\nGET /s/a/2 HTTP/1.1\r\n\r\nGET /s/a/3 HTTP/1.1\r\n\r\n", 3), EndsWith("/3"));
}

TEST_CASE_METHOD(front_fixture, "caller_front.caller_that_disconnects.cancels_its_request_and_gets_no_answer")
{
    raw_client client(loop->base(), server->address());
    client.send("GET /s/a/1 HTTP/1.1\r\n\r\nGET /s/a/2 HTTP/1.1\r\n\r\n");
    runUntil([&] { return !submitted.empty(); });
    client.close();
    runUntil([&] { return !cancelled.empty(); });
    REQUIRE(cancelled == std::vector<std::uint64_t> { 1 });
    REQUIRE(server->inFlight() == 0);
    REQUIRE(server->connections() == 0);
    REQUIRE(submitted.size() == 1);
}

TEST_CASE_METHOD(front_fixture, "caller_front.look_ups.are_encoded_once_until_the_list_changes")
{
    REQUIRE_THAT(ask("GET /v1/entries?near=hakata HTTP/1.1\r\n\r\n"), Contains("\"vm\":\"entry-2\""));
    const std::string answer = ask("GET /v1/entries?near=hakata HTTP/1.0\r\n\r\n");
    REQUIRE_THAT(answer, Contains("Cache-Control: max-age=2\r\n") && Contains("Connection: close\r\n"));
    REQUIRE_THAT(answer, Contains("\"cache_ms\":2000"));
    REQUIRE(listCalls == 1);
    entriesChanged();
    ask("GET /v1/entries?near=hakata HTTP/1.1\r\n\r\n");
    REQUIRE(listCalls == 2);
}

TEST_CASE_METHOD(front_fixture, "caller_front.stop.serves_for_the_cache_time_and_ends_with_nothing_in_flight")
{
    raw_client busy(loop->base(), server->address());
    raw_client idle(loop->base(), server->address());
    busy.send("GET /s/a/1 HTTP/1.1\r\n\r\n");
    runUntil([&] { return submitted.size() == 1 && server->connections() == 2; });
    bool stopped = false;
    subject->stop([&] { stopped = true; });
    const std::string lookup = ask("GET /v1/entries HTTP/1.1\r\n\r\n");
    REQUIRE_THAT(lookup, Contains("entry-2") && !Contains("entry-1") && Contains("Connection: close\r\n"));
    runUntil([&] { return idle.ended; });
    runFor(std::chrono::milliseconds(100));
    REQUIRE_FALSE(stopped);
    answers.front()(completed("whole"));
    runUntil([&] { return stopped && busy.ended; });
    REQUIRE_THAT(busy.received, EndsWith("Connection: close\r\n\r\nwhole"));
    REQUIRE(server->connections() == 0);
}

TEST_CASE_METHOD(front_fixture, "announcement_front.announcements.are_accepted_refused_or_reported_with_all_findings")
{
    REQUIRE_THAT(ask(post("/v1/upstreams", announcement)), Contains(R"({"renew_after_ms":1000})"));
    directoryStatus = absl::PermissionDeniedError("withdrawn");
    REQUIRE_THAT(ask(post("/v1/upstreams", announcement)), StartsWith("HTTP/1.1 403 ") && Contains("withdrawn"));
    directoryStatus = absl::UnavailableError("no leader");
    REQUIRE_THAT(
        ask(post("/v1/upstreams", announcement)), StartsWith("HTTP/1.1 503 ") && Contains("Retry-After: 1\r\n"));
    const std::string wrong = ask(post("/v1/upstreams", R"({"id":"b 1","slots":0,"rank":1})"));
    REQUIRE_THAT(wrong, StartsWith("HTTP/1.1 400 ") && Contains("'id'") && Contains("'slots'"));
    REQUIRE_THAT(wrong, Contains("'rank'") && Contains("no field 'address'"));
    directoryStatus = absl::OkStatus();
    REQUIRE_THAT(ask("DELETE /v1/upstreams/b1?generation=3 HTTP/1.1\r\n\r\n"), StartsWith("HTTP/1.1 200 "));
    REQUIRE(left == "b1");
    REQUIRE_THAT(ask("DELETE /v1/upstreams/b1 HTTP/1.1\r\n\r\n"), StartsWith("HTTP/1.1 400 "));
}

TEST_CASE_METHOD(front_fixture, "operator_front.invalid_input.is_reported_and_refusals_keep_their_text")
{
    REQUIRE_THAT(ask(post("/v1/declarations", "number: [", "X-File-Name: day.yaml\r\n")),
        StartsWith("HTTP/1.1 400 ") && Contains(R"("file":"day.yaml","line":1)"));
    REQUIRE_THAT(ask(post("/v1/drains", R"({"kind":"house","name":"b1","draining":true})")),
        StartsWith("HTTP/1.1 400 ") && Contains("vm, upstream, failure_domain or region"));
    REQUIRE_THAT(ask(post("/v1/drains", R"({"kind":"upstream","name":"b1","draining":true})")),
        StartsWith("HTTP/1.1 422 ") && Contains(R"({"verdict":"refused","message":"no upstream would be left"})"));
    REQUIRE_THAT(ask("GET /v1/drains HTTP/1.1\r\n\r\n"), StartsWith("HTTP/1.1 405 ") && Contains("Allow: POST\r\n"));
    REQUIRE_THAT(ask("GET /v1/dump HTTP/1.1\r\n\r\n"), Contains(R"("caller_front":{"requests_in_flight":0)"));
    REQUIRE_THAT(ask("GET /v1/status HTTP/1.1\r\n\r\n"), Contains(R"("current":false)"));
}

TEST_CASE_METHOD(front_fixture, "metrics.answered_requests.appear_with_service_outcome_and_latency")
{
    answerEachAtOnce();
    ask("GET /s/booking/1 HTTP/1.1\r\n\r\n");
    const std::string text = ask("GET /metrics HTTP/1.1\r\n\r\n");
    REQUIRE_THAT(text,
        Contains(
            R"(plantainlatch_answer_seconds_bucket{service="booking",outcome="completed",reason="upstream",le="+Inf"} 1)"));
    REQUIRE_THAT(text, Contains("plantainlatch_requests_in_flight 0\n"));
}

TEST_CASE_METHOD(loop_fixture, "http_server.port_in_use.is_refused_with_the_address_and_why")
{
    const auto first = http_server::create(loop->base(), hooks, { "127.0.0.1", 0 });
    REQUIRE(first.ok());
    const auto second = http_server::create(loop->base(), hooks, (*first)->address());
    REQUIRE(second.status().code() == absl::StatusCode::kUnavailable);
    REQUIRE_THAT(
        std::string(second.status().message()), Contains(formatAddress((*first)->address())) && Contains("in use"));
}

} // namespace plantainlatch
