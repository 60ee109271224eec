#include <catch2/catch.hpp>

#include "integration/test_system.h"

namespace plantainlatch {

namespace {

    class whole_path_fixture {
    protected:
        whole_path_fixture() { system.start(); }

        test_request charge(const std::string& key)
        {
            return { "POST", "/s/work/charges", { { "Idempotency-Key", key }, { "X-Request-Id", key } }, "one" };
        }

        test_system system { {} };
    };

} // namespace

TEST_CASE_METHOD(whole_path_fixture, "whole_path.mixed_load_over_all_vms.is_fully_served_and_runs_once")
{
    system.startUpstreams(6, false);
    load_run load = system.startLoad(60, std::chrono::seconds(4), "60,30,10");
    const nlohmann::json report = system.finishLoad(load);
    INFO(report.dump(2));
    CHECK(report["answered"] == report["sent"]);
    CHECK(report["served"] == report["sent"]);
    CHECK(report["foreign_answers"] == 0);
    CHECK(system.requestsRunTwice() == 0);
}

TEST_CASE_METHOD(whole_path_fixture, "whole_path.key_resent_through_every_vm.is_replayed_and_runs_once")
{
    system.startUpstreams(3, false);
    const auto first = system.caller().send(system.callerAddress(1), charge("k1"));
    REQUIRE(first);
    CHECK(headerOf(*first, "X-Plantainlatch-Outcome") == "completed");
    for (int vm = 1; vm <= system.vmCount(); ++vm) {
        const auto again = system.caller().send(system.callerAddress(vm), charge("k1"));
        REQUIRE(again);
        CHECK(headerOf(*again, "X-Plantainlatch-Outcome") == "replayed");
        CHECK(again->body == first->body);
    }
    CHECK(system.recordedLines("POST").size() == 1);
}

TEST_CASE_METHOD(whole_path_fixture, "whole_path.all_vms_killed_and_restarted.keep_configuration_and_keys")
{
    system.startUpstreams(3, false);
    REQUIRE(system.caller().send(system.callerAddress(2), charge("k1")));
    REQUIRE(system.apply(2, test_system::regionDeclaration(2, 1, "east"), std::chrono::seconds(5)) == 0);
    for (int vm = 1; vm <= system.vmCount(); ++vm)
        system.killVm(vm);
    for (int vm = 1; vm <= system.vmCount(); ++vm)
        system.startVm(vm);
    for (int vm = 1; vm <= system.vmCount(); ++vm)
        system.waitUntilCurrent(vm, 2);
    system.waitUntilServed();
    const auto again = system.caller().send(system.callerAddress(3), charge("k1"));
    REQUIRE(again);
    CHECK(headerOf(*again, "X-Plantainlatch-Outcome") == "replayed");
    CHECK(system.recordedLines("POST").size() == 1);
}

} // namespace plantainlatch
