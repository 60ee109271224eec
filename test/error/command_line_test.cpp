#include <catch2/catch.hpp>

#include "runtime/command_line.h"

namespace plantainlatch {

namespace {

    class command_line_fixture {
    protected:
        command_spec spec { "tool", "A tool.",
            {
                { "entry", "IP:PORT", "an entry", {}, true, true },
                { "timeout", "TIME", "how long", "10s" },
                { "json", "", "print JSON" },
            },
            "FILE" };

        absl::StatusCode codeOf(const std::vector<std::string>& arguments)
        {
            return command_line::parse(spec, arguments).status().code();
        }
    };

} // namespace

TEST_CASE_METHOD(command_line_fixture, "command_line.options_and_arguments.are_read_with_defaults")
{
    const auto line
        = command_line::parse(spec, { "--entry", "127.0.0.1:1", "1.yaml", "--entry=127.0.0.2:2", "--json" });
    REQUIRE(line.ok());
    absl::Status status = absl::OkStatus();
    REQUIRE(line->addresses("entry", status).size() == 2);
    REQUIRE(line->span("timeout", status) == std::chrono::seconds(10));
    REQUIRE(status.ok());
    REQUIRE(line->given("json"));
    REQUIRE_FALSE(line->given("timeout"));
    REQUIRE(line->arguments() == std::vector<std::string> { "1.yaml" });
}

TEST_CASE_METHOD(command_line_fixture, "command_line.wrong_options.are_refused_without_an_exception")
{
    CHECK(codeOf({}) == absl::StatusCode::kInvalidArgument);
    CHECK(codeOf({ "--entry" }) == absl::StatusCode::kInvalidArgument);
    CHECK(codeOf({ "--entry", "x", "--colour", "red" }) == absl::StatusCode::kInvalidArgument);
    CHECK(codeOf({ "--entry", "x", "--timeout", "1s", "--timeout", "2s" }) == absl::StatusCode::kInvalidArgument);
    spec.argumentsName.clear();
    CHECK(codeOf({ "--entry", "x", "1.yaml" }) == absl::StatusCode::kInvalidArgument);
    CHECK(codeOf({ "--help" }) == absl::StatusCode::kOk);
}

TEST_CASE_METHOD(command_line_fixture, "command_line.wrong_values.are_reported_by_their_readers")
{
    const auto line = command_line::parse(spec, { "--entry", "localhost:80", "--timeout", "10" });
    REQUIRE(line.ok());
    absl::Status addressStatus = absl::OkStatus();
    line->addresses("entry", addressStatus);
    CHECK_THAT(std::string(addressStatus.message()), Catch::Contains("--entry takes a numeric address"));
    absl::Status spanStatus = absl::OkStatus();
    line->span("timeout", spanStatus);
    CHECK_THAT(std::string(spanStatus.message()), Catch::Contains("--timeout takes a whole number"));
}

} // namespace plantainlatch
