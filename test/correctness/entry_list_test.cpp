#include <algorithm>

#include <catch2/catch.hpp>

#include "decision/entries/entry_list_service.h"
#include "support/control_cluster.h"
#include "support/control_fixture.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    /** VMs a to f in the failure domains kokura, chuo-ku, tenmonkan, hakata, yatsushiro and kirishima. */
    class entry_list_fixture {
    protected:
        explicit entry_list_fixture(entry_list_options options = {})
            : cluster(5, 6, {}, [this, options](control_cluster& owner, cluster_vm& vm) {
                services.push_back(*entry_list_service::create(owner.runtime.hooks(), vm.settings, options));
                vm.root->add(services.back()->asService());
            })
        {
            cluster.apply(apply_declaration { threeRegionDeclaration() });
            cluster.runtime.advance(10s);
        }

        entry_list_port& port(const std::string& vm = "c")
        {
            return cluster.vm(vm).port<entry_list_port>(port_names::entryList);
        }

        std::vector<std::string> list(const std::string& near)
        {
            std::vector<std::string> names;
            for (const weighted_entry& entry : port().list(failure_domain_id(near)).entries)
                names.push_back(entry.vm.id.value());
            return names;
        }

        bool lists(const std::string& vm)
        {
            const std::vector<std::string> names = list("kokura");
            return std::find(names.begin(), names.end(), vm) != names.end();
        }

        std::vector<std::unique_ptr<entry_list_service>> services;
        control_cluster cluster;
    };

    class unavailable_entries_fixture : public entry_list_fixture {
    protected:
        unavailable_entries_fixture()
            : entry_list_fixture({ .excludeUnavailable = false })
        {
        }
    };

} // namespace

TEST_CASE_METHOD(entry_list_fixture, "entries.for_a_known_failure_domain.are_ordered_by_distance_with_weights")
{
    const std::vector<std::string> names = list("hakata");
    REQUIRE(names.size() == 6);
    REQUIRE(names[0] == "d");
    REQUIRE(names[1] == "a");
    const entry_list result = port().list(failure_domain_id("hakata"));
    REQUIRE(result.entries[0].weight > result.entries[1].weight);
    REQUIRE(result.entries[1].weight > result.entries[2].weight);
    REQUIRE(result.cacheTime == 2s);
}

TEST_CASE_METHOD(entry_list_fixture, "entries.for_an_unknown_failure_domain.have_equal_weights")
{
    const entry_list result = port().list({});
    REQUIRE(result.entries.size() == 6);
    REQUIRE(result.entries.front().weight == result.entries.back().weight);
}

TEST_CASE_METHOD(entry_list_fixture, "entries.drained_dead_or_stopping.are_left_out_and_each_change_is_notified_once")
{
    int changes = 0;
    port().onChange([&] { ++changes; });
    cluster.apply(set_drain { { drain_kind::Vm, "a" }, true });
    cluster.cut("b");
    cluster.vm("d").port<membership_port>(port_names::membership).beginStop();
    cluster.runtime.advance(10s);
    REQUIRE_FALSE(lists("a"));
    REQUIRE_FALSE(lists("b"));
    REQUIRE_FALSE(lists("d"));
    REQUIRE(lists("c"));
    REQUIRE(changes == 3);
}

TEST_CASE_METHOD(unavailable_entries_fixture, "entries.unavailable_ones_not_left_out.include_dead_vms")
{
    cluster.cut("b");
    cluster.runtime.advance(10s);
    REQUIRE(lists("b"));
}

TEST_CASE_METHOD(entry_list_fixture, "entries.all_drained.are_listed_rather_than_none")
{
    for (const char* region : { "fukuoka", "kumamoto", "kagoshima" })
        cluster.apply(set_drain { { drain_kind::Region, region }, true });
    cluster.runtime.advance(1s);
    REQUIRE(list("kokura").size() == 6);
}

} // namespace plantainlatch
