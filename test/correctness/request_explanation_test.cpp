#include <catch2/catch.hpp>

#include "decision/operators/request_explanation.h"

namespace plantainlatch {

namespace {

    using Catch::Contains;

    /** Builds log lines, one per second. */
    class request_explanation_fixture {
    protected:
        void add(const std::string& what, std::map<std::string, std::string> fields, const std::string& vm = "e1")
        {
            log_line line;
            line.position = lines.size() + 1;
            line.time = "2026-12-04T10:00:0" + std::to_string(lines.size());
            line.vm = vm;
            line.service = what.find("attempt") == 0 || what.find("request") == 0 || what == "caller-left" ? "requests"
                                                                                                           : "beliefs";
            line.what = what;
            line.fields = std::move(fields);
            lines.push_back(line);
        }

        void addAttempt()
        {
            add("attempt-began",
                { { "request", "r" }, { "upstream", "u1" }, { "object", "unknown" }, { "load", "9" },
                    { "expected_ms", "700" } });
        }

        std::string cause() { return explainRequest(lines, "r").cause; }

        std::vector<log_line> lines;
    };

} // namespace

TEST_CASE_METHOD(request_explanation_fixture, "explanation.no_line_about_the_request.says_so")
{
    add("request-answered", { { "request", "other" } });
    REQUIRE_THAT(cause(), Contains("no line names the request"));
}

TEST_CASE_METHOD(request_explanation_fixture, "explanation.no_slot_in_time.is_named")
{
    add("attempt-ended", { { "request", "r" }, { "end", "no-slot" } });
    add("request-answered", { { "request", "r" }, { "reason", "overloaded" }, { "status", "503" } });
    REQUIRE_THAT(cause(), Contains("no upstream was expected to finish it in time"));
}

TEST_CASE_METHOD(request_explanation_fixture, "explanation.lost_with_its_upstream.names_the_upstream")
{
    addAttempt();
    add("attempt-ended",
        { { "request", "r" }, { "upstream", "u1" }, { "end", "lost" }, { "failure", "connection-lost" },
            { "took_ms", "120" } });
    add("request-answered", { { "request", "r" }, { "reason", "connection-lost" }, { "status", "502" } });
    REQUIRE_THAT(cause(), Contains("u1") && Contains("120 ms") && Contains("may have run"));
}

TEST_CASE_METHOD(request_explanation_fixture, "explanation.deadline_exceeded.gives_the_inputs_of_the_decision")
{
    addAttempt();
    add("request-answered",
        { { "request", "r" }, { "reason", "deadline-exceeded" }, { "status", "504" }, { "limit_ms", "1200" } });
    REQUIRE_THAT(cause(), Contains("object unknown") && Contains("load 9") && Contains("1200 ms"));
}

TEST_CASE_METHOD(request_explanation_fixture, "explanation.old_configuration.is_shown_with_its_number")
{
    add("configuration-in-force", { { "configuration", "3" } });
    add("configuration-in-force", { { "configuration", "9" } }, "e2");
    add("request-refused", { { "request", "r" }, { "reason", "unknown-route" }, { "status", "404" } });
    const request_explanation explained = explainRequest(lines, "r");
    REQUIRE(explained.lines.size() == 2);
    REQUIRE(explained.lines[0].field("configuration") == "3");
    REQUIRE_THAT(explained.cause, Contains("unknown-route"));
}

TEST_CASE_METHOD(request_explanation_fixture, "explanation.state_of_the_upstream.is_shown_before_the_attempt")
{
    add("upstream-joined", { { "upstream", "u1" } });
    add("upstream-changed", { { "upstream", "u1" }, { "draining", "yes" } });
    add("upstream-changed", { { "upstream", "u2" } });
    addAttempt();
    const request_explanation explained = explainRequest(lines, "r");
    REQUIRE(explained.lines.size() == 2);
    REQUIRE(explained.lines[0].field("draining") == "yes");
}

TEST_CASE_METHOD(request_explanation_fixture, "explanation.no_answer_logged.names_the_vm")
{
    addAttempt();
    REQUIRE_THAT(cause(), Contains("VM e1 received it and logged no answer"));
}

} // namespace plantainlatch
