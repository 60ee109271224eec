#include <algorithm>

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

        /** Orders the start or end of the drain of "kokura". */
        absl::Status drain(bool begins)
        {
            absl::Status answer = absl::UnknownError("no answer");
            configurations->drain(
                kokura, begins, [this] { return senderWaits; }, [&](const absl::Status& status) { answer = status; });
            runtime.advance(100ms);
            return answer;
        }

        absl::StatusOr<configuration> read()
        {
            absl::StatusOr<configuration> answer = absl::UnknownError("no answer");
            configurations->read([&](const absl::StatusOr<configuration>& result) { answer = result; });
            return answer;
        }

        /** A configuration with so many routes that a change of one is proposed as a difference. */
        static configuration makeLargeConfiguration(std::uint64_t number, const std::string& host)
        {
            configuration config = makeConfiguration(number, host);
            for (int i = 0; i < 100; ++i) {
                route_definition route = config.routes[0];
                route.id = route_id("r" + std::to_string(i));
                route.host = "unchanged";
                config.routes.push_back(route);
            }
            return config;
        }

        template <typename Command> std::size_t proposedCount() const
        {
            return static_cast<std::size_t>(std::count_if(proposed.begin(), proposed.end(),
                [](const control_command& command) { return std::holds_alternative<Command>(command); }));
        }

        const drain_target kokura { drain_kind::FailureDomain, "kokura" };
        bool senderWaits = true;
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
        REQUIRE(drain(begins).ok());
        REQUIRE(state().drains.size() == (begins ? 1 : 0));
    }
}

// Guards against a VM that was frozen withdrawing a newer evacuation with an order that it reads when it wakes.
TEST_CASE_METHOD(configuration_service_fixture, "drain_order.of_a_sender_that_is_gone.is_not_proposed")
{
    put(makeConfiguration(7, "a")).IgnoreError();
    REQUIRE(drain(true).ok());
    senderWaits = false;
    REQUIRE(absl::IsUnavailable(drain(false)));
    REQUIRE(state().drains.size() == 1);
}

TEST_CASE_METHOD(
    configuration_service_fixture, "drain_order.overtaken_by_a_later_one_after_the_sender_left.has_no_effect")
{
    put(makeConfiguration(7, "a")).IgnoreError();
    REQUIRE(drain(true).ok());
    bool isFirst = true;
    log.propose = [this, &isFirst, propose = log.propose](control_command command, duration limit, auto done) {
        if (std::exchange(isFirst, false)) {
            senderWaits = false;
            apply(set_drain { kokura, false, {} });
            apply(set_drain { kokura, true, {} });
        }
        return propose(std::move(command), limit, done);
    };
    REQUIRE(absl::IsUnavailable(drain(false)));
    REQUIRE(state().drains.size() == 1);
}

TEST_CASE_METHOD(
    configuration_service_fixture, "drain_order.overtaken_while_its_sender_waits.is_proposed_again_after_catching_up")
{
    put(makeConfiguration(7, "a")).IgnoreError();
    bool isFirst = true;
    log.propose = [this, &isFirst, propose = log.propose](control_command command, duration limit, auto done) {
        if (std::exchange(isFirst, false))
            apply(set_drain { kokura, true, {} });
        return propose(std::move(command), limit, done);
    };
    REQUIRE(drain(false).ok());
    REQUIRE(state().drains.empty());
    REQUIRE(proposedCount<set_drain>() == 2);
}

TEST_CASE_METHOD(
    configuration_service_fixture, "drain_order.later_than_many_for_other_targets.still_overrides_old_ones")
{
    put(makeConfiguration(7, "a")).IgnoreError();
    REQUIRE(drain(true).ok());
    const std::uint64_t seen = state().drainOrders.last;
    REQUIRE(drain(true).ok());
    for (std::size_t i = 0; i < maximumDrainOrders; ++i)
        apply(set_drain { { drain_kind::Upstream, std::to_string(i) }, false, {} });
    REQUIRE(apply(set_drain { kokura, false, seen }).verdict == command_verdict::Conflict);
    REQUIRE(drain(false).ok());
}

TEST_CASE_METHOD(configuration_service_fixture, "configuration.small_change.is_proposed_as_a_difference")
{
    REQUIRE(put(makeLargeConfiguration(7, "a")).ok());
    REQUIRE(put(makeLargeConfiguration(9, "b")).ok());
    REQUIRE(proposedCount<replace_configuration>() == 1);
    REQUIRE(proposedCount<amend_configuration>() == 1);
    REQUIRE(*read() == makeLargeConfiguration(9, "b"));
}

TEST_CASE_METHOD(
    configuration_service_fixture, "configuration.difference_from_an_outdated_one.is_made_again_after_catching_up")
{
    REQUIRE(put(makeLargeConfiguration(7, "a")).ok());
    bool otherIsFirst = true;
    log.propose = [this, &otherIsFirst, propose = log.propose](control_command command, duration limit, auto done) {
        if (std::exchange(otherIsFirst, false))
            apply(replace_configuration { makeLargeConfiguration(8, "other") });
        return propose(std::move(command), limit, done);
    };
    REQUIRE(put(makeLargeConfiguration(9, "b")).ok());
    REQUIRE(proposedCount<amend_configuration>() == 2);
    REQUIRE(*read() == makeLargeConfiguration(9, "b"));
}

TEST_CASE_METHOD(
    configuration_service_fixture, "configuration.difference_that_is_outdated_again_and_again.is_replaced_by_the_whole")
{
    REQUIRE(put(makeLargeConfiguration(7, "a")).ok());
    std::uint64_t other = 8;
    log.propose = [this, &other, propose = log.propose](control_command command, duration limit, auto done) {
        apply(replace_configuration { makeLargeConfiguration(other++, "other") });
        return propose(std::move(command), limit, done);
    };
    REQUIRE(put(makeLargeConfiguration(20, "b")).ok());
    REQUIRE(proposedCount<amend_configuration>() == 2);
    REQUIRE(proposedCount<replace_configuration>() == 2);
    REQUIRE(*read() == makeLargeConfiguration(20, "b"));
}

} // namespace plantainlatch
