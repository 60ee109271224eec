#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "kernel/kernel.h"
#include "support/paused_runtime.h"

namespace plantainlatch {

namespace {

    class kernel_fixture {
    protected:
        service recorded(const std::string& name, std::vector<std::string> dependencies)
        {
            service item;
            item.name = name;
            item.dependencies = std::move(dependencies);
            item.start = [this, name](registry&) {
                events.push_back("start " + name);
                return absl::OkStatus();
            };
            item.stop = [this, name](std::function<void()> stopped) {
                events.push_back("stop " + name);
                stopped();
            };
            return item;
        }

        paused_runtime runtime { 1 };
        std::unique_ptr<kernel> subject = *kernel::create(runtime.hooks());
        std::vector<std::string> events;
    };

} // namespace

TEST_CASE_METHOD(kernel_fixture, "kernel.services_with_dependencies.start_in_order_and_stop_in_reverse")
{
    subject->add(recorded("routing", { "directory" }));
    subject->add(recorded("directory", {}));
    REQUIRE(subject->start().ok());
    subject->stop([this] { events.push_back("stopped"); });
    REQUIRE(events
        == std::vector<std::string> {
            "start directory", "start routing", "stop routing", "stop directory", "stopped" });
}

TEST_CASE_METHOD(kernel_fixture, "kernel.missing_and_circular_dependencies.are_reported_together_and_nothing_starts")
{
    subject->add(recorded("routing", { "directory" }));
    subject->add(recorded("left", { "right" }));
    subject->add(recorded("right", { "left" }));
    const absl::Status status = subject->start();
    REQUIRE(status.code() == absl::StatusCode::kInvalidArgument);
    REQUIRE_THAT(std::string(status.message()), Catch::Contains("'directory', which is missing"));
    REQUIRE_THAT(std::string(status.message()), Catch::Contains("'left' is part of"));
    REQUIRE(events.empty());
}

TEST_CASE_METHOD(kernel_fixture, "registry.name_of_another_type.is_refused")
{
    int value = 7;
    REQUIRE(subject->services().publish("answer", value).ok());
    REQUIRE(**subject->services().find<int>("answer") == 7);
    REQUIRE(subject->services().find<long>("answer").status().code() == absl::StatusCode::kFailedPrecondition);
    REQUIRE(subject->services().find<int>("question").status().code() == absl::StatusCode::kNotFound);
}

TEST_CASE_METHOD(kernel_fixture, "paused_clock.advanced.fires_due_timers_in_order_and_not_cancelled_ones")
{
    const kernel_hooks hooks = runtime.hooks();
    hooks.schedule(std::chrono::milliseconds(2), [this] { events.push_back("second"); });
    hooks.schedule(std::chrono::milliseconds(1), [this] { events.push_back("first"); });
    const timer_id cancelled = hooks.schedule(std::chrono::milliseconds(1), [this] { events.push_back("cancelled"); });
    hooks.cancel(cancelled);
    runtime.advance(std::chrono::milliseconds(5));
    REQUIRE(events == std::vector<std::string> { "first", "second" });
}

} // namespace plantainlatch
