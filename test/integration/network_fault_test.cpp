#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "integration/test_system.h"

namespace plantainlatch {

namespace {

    const std::string dropBoth = R"({"stop_up":true,"stop_down":true})";
    const std::string noFaults = "{}";

    class network_fault_fixture {
    protected:
        network_fault_fixture() { system.start(); }

        /** Sets the faults of all connections between a VM and the others: `dropBoth` isolates the VM, `noFaults`
         * reconnects it. */
        void setPartition(int vm, const std::string& faults)
        {
            system.setFaults(absl::StrCat("peer-", vm, "-*"), faults);
            for (int other = 1; other <= system.vmCount(); ++other) {
                if (other != vm)
                    system.setFaults(absl::StrCat("peer-", other, "-", vm), faults);
            }
        }

        std::string noteOf(int vm, int number)
        {
            const auto answer = system.caller().send(system.callerAddress(vm), { "GET", "/v1/history" });
            const nlohmann::json json = answer ? nlohmann::json::parse(answer->body, nullptr, false) : nlohmann::json();
            for (const nlohmann::json& item : json.is_object() ? json["history"] : nlohmann::json::array()) {
                if (item.value("number", 0) == number)
                    return item.value("note", "");
            }
            return "";
        }

        test_system system { { 4, true } };
    };

} // namespace

TEST_CASE_METHOD(network_fault_fixture, "partitioned_leader.concurrent_changes.only_one_is_in_force_on_all_vms")
{
    const int leader = system.leaderKnownBy(4);
    REQUIRE(leader > 0);
    const int other = leader == 1 ? 2 : 1;
    setPartition(leader, dropBoth);
    test_system::waitUntil("another leader", std::chrono::seconds(15), [&] {
        const int known = system.leaderKnownBy(other);
        return known != 0 && known != leader;
    });
    CHECK(system.apply(leader, test_system::regionDeclaration(2, 1, "lost"), std::chrono::seconds(2)) != 0);
    CHECK(system.apply(other, test_system::regionDeclaration(2, 1, "won"), std::chrono::seconds(5)) == 0);
    CHECK(system.apply(other, test_system::regionDeclaration(2, 1, "won"), std::chrono::seconds(5)) == 0);
    CHECK(system.apply(other, test_system::regionDeclaration(2, 1, "late"), std::chrono::seconds(5)) == 1);
    setPartition(leader, noFaults);
    for (int vm = 1; vm <= system.vmCount(); ++vm) {
        system.waitUntilCurrent(vm, 2);
        CHECK(noteOf(vm, 2) == "won");
    }
}

TEST_CASE_METHOD(network_fault_fixture, "silent_connections.to_upstreams.lose_no_answer_and_run_nothing_twice")
{
    system.startUpstreams(6, false);
    load_run load = system.startLoad(40, std::chrono::seconds(8), "70,30,0");
    pause(std::chrono::seconds(2));
    system.commandProxy("upstream-*", "silence-open");
    pause(std::chrono::seconds(3));
    system.commandProxy("upstream-*", "silence-open");
    const nlohmann::json report = system.finishLoad(load);
    INFO(report.dump(2));
    CHECK(report["answered"] == report["sent"]);
    CHECK(report["foreign_answers"] == 0);
    // A keyed request in flight on a connection that goes silent ends with outcome unknown; no request may run twice.
    CHECK(report["served_by_kind"]["idempotent"] == report["sent_by_kind"]["idempotent"]);
    CHECK(report["outcomes"].value("unknown", 0U) <= 10);
    CHECK(system.requestsRunTwice() == 0);
}

TEST_CASE_METHOD(network_fault_fixture, "truncated_answers.from_an_upstream.never_reach_a_caller")
{
    system.startUpstreams(6, false, { "--answer-bytes", "2000" });
    system.setFaults("upstream-1", R"({"truncate_after":700})");
    load_run load = system.startLoad(40, std::chrono::seconds(5), "100,0,0");
    const nlohmann::json report = system.finishLoad(load);
    INFO(report.dump(2));
    CHECK(report["served"] == report["sent"]);
    CHECK(report["foreign_answers"] == 0);
}

} // namespace plantainlatch
