#include <catch2/catch.hpp>

#include "support/control_cluster.h"
#include "support/control_fixture.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    class membership_fixture {
    protected:
        void begin(membership_options options = {})
        {
            cluster = std::make_unique<control_cluster>(7, 4, options);
            cluster->apply(apply_declaration { threeRegionDeclaration() });
        }

        membership_port& port(const std::string& name)
        {
            return cluster->vm(name).port<membership_port>(port_names::membership);
        }

        std::vector<std::string> allocatorsOf(const std::string& region)
        {
            std::vector<std::string> found;
            for (const auto& [id, vm] : cluster->vms) {
                if (port(id.value()).allocatorLeaseEnd(region_id(region)).has_value())
                    found.push_back(id.value());
            }
            return found;
        }

        /** The maximum number of VMs that were allocators of one region at the same time during the span. */
        std::size_t maximumAllocators(duration span)
        {
            std::size_t maximum = 0;
            for (duration passed {}; passed < span; passed += 10ms) {
                cluster->runtime.advance(10ms);
                for (const char* region : { "fukuoka", "kumamoto", "kagoshima" })
                    maximum = std::max(maximum, allocatorsOf(region).size());
            }
            return maximum;
        }

        std::unique_ptr<control_cluster> cluster;
    };

} // namespace

TEST_CASE_METHOD(membership_fixture, "membership.started.gives_each_region_an_allocator_of_its_own")
{
    begin();
    REQUIRE(maximumAllocators(6s) == 1);
    REQUIRE(allocatorsOf("fukuoka").size() == 1);
    REQUIRE(allocatorsOf("kumamoto") == std::vector<std::string> { "b" });
    REQUIRE(allocatorsOf("kagoshima") == std::vector<std::string> { "c" });
    REQUIRE(port("a").liveVms().size() == 4);
}

TEST_CASE_METHOD(membership_fixture, "membership.dead_allocator.is_replaced_after_its_lease_and_never_before")
{
    begin();
    maximumAllocators(6s);
    cluster->cut("b");
    REQUIRE(maximumAllocators(8s) == 1);
    REQUIRE(allocatorsOf("kumamoto").size() == 1);
    REQUIRE(allocatorsOf("kumamoto") != std::vector<std::string> { "b" });
    cluster->heal("b");
    REQUIRE(maximumAllocators(60s) == 1);
    REQUIRE(allocatorsOf("kumamoto") == std::vector<std::string> { "b" });
}

TEST_CASE_METHOD(membership_fixture, "membership.leases_not_waited_out.let_two_vms_allocate_at_once")
{
    membership_options options;
    options.leases.waitForExpiry = false;
    options.leases.lease = 6s;
    begin(options);
    maximumAllocators(6s);
    cluster->cut("b");
    REQUIRE(maximumAllocators(8s) == 2);
}

TEST_CASE_METHOD(membership_fixture, "membership.new_leader.never_lets_two_vms_allocate_at_once")
{
    begin();
    maximumAllocators(6s);
    cluster->cut("b");
    std::size_t maximum = 0;
    for (const char* leader : { "c", "d", "a", "c" }) {
        maximum = std::max(maximum, maximumAllocators(1700ms));
        cluster->setLeader(leader);
    }
    maximum = std::max(maximum, maximumAllocators(10s));
    REQUIRE(maximum == 1);
    REQUIRE(allocatorsOf("kumamoto").size() == 1);
}

TEST_CASE_METHOD(membership_fixture, "membership.new_leader.renews_held_leases_without_a_gap")
{
    begin();
    maximumAllocators(6s);
    cluster->setLeader("c");
    for (int i = 0; i < 60; ++i) {
        cluster->runtime.advance(100ms);
        REQUIRE(allocatorsOf("kumamoto") == std::vector<std::string> { "b" });
    }
}

TEST_CASE_METHOD(membership_fixture, "membership.stopping_vm.is_avoided_and_gives_up_its_roles_at_once")
{
    begin();
    maximumAllocators(6s);
    port("b").beginStop();
    REQUIRE(allocatorsOf("kumamoto").empty());
    REQUIRE(maximumAllocators(2500ms) == 1);
    REQUIRE(allocatorsOf("kumamoto").size() == 1);
    REQUIRE(port("c").avoided() == std::vector<vm_id> { vm_id("b") });
}

TEST_CASE_METHOD(membership_fixture, "membership.drained_region.keeps_its_allocator_but_a_drained_vm_loses_the_role")
{
    begin();
    maximumAllocators(6s);
    cluster->apply(set_drain { { drain_kind::Region, "kumamoto" }, true });
    maximumAllocators(10s);
    REQUIRE(allocatorsOf("kumamoto") == std::vector<std::string> { "b" });
    cluster->apply(set_drain { { drain_kind::Vm, "b" }, true });
    REQUIRE(maximumAllocators(10s) == 1);
    REQUIRE(allocatorsOf("kumamoto") != std::vector<std::string> { "b" });
}

TEST_CASE_METHOD(membership_fixture, "membership.vm_without_heartbeats.is_avoided_everywhere_within_seconds")
{
    begin();
    maximumAllocators(6s);
    cluster->cut("d");
    cluster->runtime.advance(4s);
    REQUIRE(port("c").avoided() == std::vector<vm_id> { vm_id("d") });
    cluster->setLeader("b");
    for (int i = 0; i < 40; ++i) {
        cluster->runtime.advance(100ms);
        REQUIRE(port("c").avoided() == std::vector<vm_id> { vm_id("d") });
    }
    cluster->heal("d");
    cluster->runtime.advance(2s);
    REQUIRE(port("c").avoided().empty());
}

TEST_CASE_METHOD(membership_fixture, "membership.new_leader.gets_heartbeats_before_their_next_interval")
{
    membership_options options;
    options.heartbeatInterval = 1h;
    options.deadAfter = 2h;
    begin(options);
    cluster->runtime.advance(1s);
    cluster->setLeader("b");
    cluster->runtime.advance(1s);
    REQUIRE(port("b").liveVms().size() == 4);
}

} // namespace plantainlatch
