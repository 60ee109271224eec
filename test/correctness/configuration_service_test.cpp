#include <catch2/catch.hpp>

#include "decision/control/apply_change.h"
#include "decision/operators/configuration_service.h"
#include "support/control_fixture.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    configuration makeConfiguration(std::uint64_t number, const std::string& host)
    {
        configuration config;
        config.number = change_number(number);
        config.services[service_id("booking")].id = service_id("booking");
        config.regions[region_id("fukuoka")].failureDomains = { failure_domain_id("kokura") };
        route_definition route;
        route.id = route_id("r");
        route.host = host;
        route.pathPrefix = "/";
        route.maximumAttempts = 2;
        route.timeLimit = 3s;
        route.services = { { service_id("booking"), 1 } };
        config.routes = { route };
        return config;
    }

    class configuration_service_fixture : public control_fixture {
    protected:
        configuration_service_fixture()
        {
            log.readBarrier = [this](duration, std::function<void(absl::Status)> callback) { callback(caughtUp); };
            subject = *configuration_service::create(runtime.hooks(), settings);
            startWith({ subject->asService() });
            configurations = *root->services().find<configuration_port>(port_names::configurations);
        }

        absl::Status put(const configuration& content)
        {
            absl::Status answer = absl::UnknownError("no answer");
            configurations->put(content, [&](const absl::Status& status) { answer = status; });
            runtime.advance(100ms);
            return answer;
        }

        absl::StatusOr<configuration> read()
        {
            absl::StatusOr<configuration> answer = absl::UnknownError("no answer");
            configurations->read([&](const absl::StatusOr<configuration>& result) { answer = result; });
            return answer;
        }

        absl::Status caughtUp;
        std::unique_ptr<configuration_service> subject;
        configuration_port* configurations = nullptr;
    };

} // namespace

TEST_CASE_METHOD(configuration_service_fixture, "configuration.higher_number.takes_effect")
{
    REQUIRE(put(makeConfiguration(7, "a")).ok());
    REQUIRE(put(makeConfiguration(9, "b")).ok());
    REQUIRE(read()->routes[0].host == "b");
}

TEST_CASE_METHOD(
    configuration_service_fixture, "configuration.lower_or_equal_number.is_acknowledged_and_changes_nothing")
{
    REQUIRE(put(makeConfiguration(9, "b")).ok());
    REQUIRE(put(makeConfiguration(7, "a")).ok());
    REQUIRE(put(makeConfiguration(9, "c")).ok());
    REQUIRE(read()->number == change_number(9));
    REQUIRE(read()->routes[0].host == "b");
}

TEST_CASE_METHOD(configuration_service_fixture, "configuration.superseded_in_the_log.changes_nothing")
{
    put(makeConfiguration(9, "b")).IgnoreError();
    REQUIRE(apply(replace_configuration { makeConfiguration(8, "a") }).verdict == command_verdict::AlreadyAccepted);
    REQUIRE(state().config.number == change_number(9));
}

TEST_CASE_METHOD(configuration_service_fixture, "configuration.invalid_routes.are_refused_as_an_invalid_argument")
{
    configuration content = makeConfiguration(7, "a");
    content.routes[0].maximumAttempts = 0;
    REQUIRE(absl::IsInvalidArgument(put(content)));
    REQUIRE(state().config.number == change_number());
}

TEST_CASE_METHOD(configuration_service_fixture, "configuration.read_without_a_leader.is_unavailable")
{
    put(makeConfiguration(7, "a")).IgnoreError();
    caughtUp = absl::DeadlineExceededError("no leader");
    REQUIRE(absl::IsUnavailable(read().status()));
}

TEST_CASE_METHOD(configuration_service_fixture, "configuration.read_before_the_first_put.is_unavailable")
{
    REQUIRE(absl::IsUnavailable(read().status()));
}

TEST_CASE_METHOD(configuration_service_fixture, "configuration.repeated_drain_command.is_accepted_each_time")
{
    put(makeConfiguration(7, "a")).IgnoreError();
    for (const bool begins : { true, true, false, false }) {
        absl::Status answer = absl::UnknownError("no answer");
        configurations->drain(
            { { drain_kind::FailureDomain, "kokura" }, begins }, [&](const absl::Status& status) { answer = status; });
        runtime.advance(100ms);
        REQUIRE(answer.ok());
        REQUIRE(state().drains.size() == (begins ? 1 : 0));
    }
}

} // namespace plantainlatch
