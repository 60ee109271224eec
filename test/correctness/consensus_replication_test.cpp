#include <catch2/catch.hpp>

#include "support/consensus_fixture.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    /** Seven VMs of which five are replicas, as in the current deployments. */
    class seven_vms_fixture {
    protected:
        void begin()
        {
            cluster.startAll();
            REQUIRE(cluster.waitForLeader());
        }

        consensus_cluster cluster { 7, 5 };
    };

} // namespace

TEST_CASE_METHOD(seven_vms_fixture, "log.blank_replicas.bootstrap_one_log_and_elect_a_leader")
{
    begin();
    REQUIRE(cluster.until([this] { return cluster.voterCount(7) == 5; }));
    REQUIRE(cluster.allLeaders().size() == 1);
}

TEST_CASE("log.single_replica.leads_and_applies", "[consensus]")
{
    consensus_cluster cluster(1, 1);
    cluster.startAll();
    REQUIRE(cluster.waitForLeader());
    cluster.propose(1, 1);
    REQUIRE(cluster.until([&] { return cluster.allApplied(1); }, 1s));
    cluster.kill(1);
    REQUIRE(cluster.start(1).ok());
    REQUIRE(cluster.waitForLeader());
    REQUIRE(cluster.until([&] { return cluster.allApplied(1); }, 1s));
}

TEST_CASE_METHOD(seven_vms_fixture, "log.proposals_through_every_vm.are_applied_everywhere_in_one_order")
{
    begin();
    for (std::uint64_t i = 1; i <= 70; ++i)
        cluster.propose(static_cast<int>(i % 7) + 1, i);
    REQUIRE(cluster.until([this] { return cluster.results.size() == 70; }));
    cluster.propose(7, 71);
    REQUIRE(cluster.until([this] { return cluster.allApplied(71); }));
    for (const auto& [number, result] : cluster.results)
        REQUIRE(result.ok());
    REQUIRE(cluster.vm(6).control->numbers().size() == 71);
}

TEST_CASE_METHOD(seven_vms_fixture, "log.leader_killed.another_leads_and_no_change_is_lost")
{
    begin();
    const int first = cluster.leader();
    cluster.propose(7, 1);
    REQUIRE(cluster.until([this] { return cluster.results.size() == 1; }));
    cluster.kill(first);
    REQUIRE(cluster.waitForLeader());
    cluster.propose(7, 2);
    REQUIRE(cluster.until([this] { return cluster.allApplied(2); }));
    REQUIRE(cluster.vm(7).control->numbers() == std::vector<std::uint64_t> { 1, 2 });
}

TEST_CASE_METHOD(seven_vms_fixture, "log.all_vms_killed.keeps_every_acknowledged_change")
{
    begin();
    for (std::uint64_t i = 1; i <= 20; ++i)
        cluster.propose(1, i);
    REQUIRE(cluster.until([this] { return cluster.results.size() == 20; }));
    for (int i = 1; i <= 7; ++i)
        cluster.kill(i);
    cluster.startAll();
    REQUIRE(cluster.waitForLeader());
    REQUIRE(cluster.until([this] { return cluster.allApplied(20); }));
}

} // namespace plantainlatch
