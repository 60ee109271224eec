#include <catch2/catch.hpp>

#include "integration/test_system.h"

namespace plantainlatch {

namespace {

    class vm_loss_fixture {
    protected:
        vm_loss_fixture()
        {
            system.start();
            system.startUpstreams(6, false);
        }

        test_system system { {} };
    };

} // namespace

TEST_CASE_METHOD(vm_loss_fixture, "planned_stop.one_vm_after_another_under_load.fails_no_request")
{
    load_run load = system.startLoad(40, std::chrono::seconds(30), "60,30,10");
    for (int vm = 1; vm <= system.vmCount(); ++vm) {
        INFO("e" << vm);
        CHECK(system.stopVm(vm) == 0);
        system.startVm(vm);
        system.waitUntilCurrent(vm, 1);
    }
    const nlohmann::json report = system.finishLoad(load);
    INFO(report.dump(2));
    CHECK(report["served"] == report["sent"]);
    CHECK(report["foreign_answers"] == 0);
    CHECK(system.requestsRunTwice() == 0);
}

TEST_CASE_METHOD(vm_loss_fixture, "killed_leader.under_load.is_replaced_and_safe_requests_are_served")
{
    const int leader = system.leaderKnownBy(4);
    REQUIRE(leader > 0);
    load_run load = system.startLoad(40, std::chrono::seconds(12), "60,40,0");
    pause(std::chrono::seconds(2));
    system.killVm(leader);
    const int other = leader == 1 ? 2 : 1;
    test_system::waitUntil("another leader", std::chrono::seconds(15), [&] {
        const int known = system.leaderKnownBy(other);
        return known != 0 && known != leader;
    });
    CHECK(system.apply(other, test_system::regionDeclaration(2, 1, "east"), std::chrono::seconds(5)) == 0);
    system.startVm(leader);
    system.waitUntilCurrent(leader, 2);
    const nlohmann::json report = system.finishLoad(load);
    INFO(report.dump(2));
    CHECK(report["answered"] == report["sent"]);
    // Requests in flight through the killed VM may end with outcome unknown, because the record of their outcome is
    // lost.
    const std::uint64_t unknown = report["outcomes"].value("unknown", 0U);
    CHECK(report["served"].get<std::uint64_t>() + unknown == report["sent"].get<std::uint64_t>());
    CHECK(unknown <= 20);
    CHECK(system.requestsRunTwice() == 0);
}

} // namespace plantainlatch
