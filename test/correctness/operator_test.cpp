#include <algorithm>

#include <catch2/catch.hpp>

#include "decision/operators/operator_service.h"
#include "ports/measurement_port.h"
#include "support/control_cluster.h"
#include "support/control_fixture.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    class operator_fixture {
    protected:
        explicit operator_fixture(operator_options given = {})
            : options(given)
            , cluster(5, 3, {}, [this](control_cluster& owner, cluster_vm& vm) { addServices(owner, vm); })
        {
            cluster.apply(apply_declaration { threeRegionDeclaration() });
            join("k1", 9001, "fukuoka", "kokura");
            join("t1", 9002, "kagoshima", "kirishima");
            cluster.runtime.advance(12s);
        }

        void addServices(control_cluster& owner, cluster_vm& vm)
        {
            services.push_back(*operator_service::create(owner.runtime.hooks(), vm.settings, options));
            vm.root->add(services.back()->asService());
            measurements.push_back(std::make_unique<measurement_port>());
            measurement_port& port = *measurements.back();
            port.take = [this] { return measured; };
            service item;
            item.name = port_names::measurements;
            item.start = [&port](registry& names) { return names.publish(port_names::measurements, port); };
            vm.root->add(std::move(item));
        }

        void join(const std::string& id, std::uint16_t port, const std::string& region, const std::string& domain)
        {
            upstream_announcement item = bookingUpstream(id, port);
            item.region = region_id(region);
            item.failureDomain = failure_domain_id(domain);
            cluster.apply(upstream_joined { item });
        }

        /** Lets each VM measure this many requests of 50 ms in kokura every half second. */
        void measureRequests(std::uint64_t requests)
        {
            measured = { { service_id("booking"), failure_domain_id("kokura"), requests, 0, 0, 50ms, 80ms } };
            cluster.runtime.advance(12s);
        }

        operator_port& port(const std::string& vm = "c")
        {
            return cluster.vm(vm).port<operator_port>(port_names::operators);
        }

        command_result drain(drain_kind kind, const std::string& name, bool force = false)
        {
            command_result found;
            port().drain(
                { kind, name }, true, force, [] { return true; }, [&](auto result) { found = *result; });
            cluster.runtime.advance(1s);
            return found;
        }

        command_result apply(const declaration& content, const std::string& vm = "c")
        {
            command_result found;
            port(vm).apply(content, [&](auto result) { found = *result; });
            cluster.runtime.advance(1s);
            return found;
        }

        /** A change that sends all traffic of booking to kirishima. */
        declaration allToKirishima()
        {
            declaration content;
            content.number = change_number(2);
            content.replaces = change_number(1);
            content.shares.added = { { { service_id("booking"), failure_domain_id("kirishima"), 1 }, {} } };
            return content;
        }

        operator_options options;
        std::vector<std::unique_ptr<operator_service>> services;
        std::vector<std::unique_ptr<measurement_port>> measurements;
        std::vector<service_measurement> measured;
        control_cluster cluster;
    };

    class unguarded_fixture : public operator_fixture {
    protected:
        unguarded_fixture()
            : operator_fixture({ .refuseRisks = false })
        {
        }
    };

} // namespace

TEST_CASE_METHOD(operator_fixture, "drain.within_the_remaining_capacity.is_accepted_and_shown_with_progress")
{
    measureRequests(5);
    REQUIRE(drain(drain_kind::FailureDomain, "kokura").verdict == command_verdict::Accepted);
    REQUIRE(cluster.vm("a").state().drains.size() == 1);
    const system_status shown = port().status();
    bool hasDrains = false;
    for (const state_dump& child : shown.details.children)
        hasDrains = hasDrains || (child.name == "drains" && child.children.size() == 1);
    REQUIRE(hasDrains);
}

TEST_CASE_METHOD(operator_fixture, "drain.that_overloads_the_rest.is_refused_unless_forced")
{
    measureRequests(17); // 102 requests/s, 5.1 concurrent: more than 85 percent of the 6 slots that would be left.
    const command_result refused = drain(drain_kind::Region, "fukuoka");
    REQUIRE(refused.verdict == command_verdict::Refused);
    REQUIRE_THAT(refused.message, Catch::Contains("region 'kagoshima' would run 5."));
    REQUIRE(drain(drain_kind::Region, "fukuoka", true).verdict == command_verdict::Accepted);
}

TEST_CASE_METHOD(unguarded_fixture, "drain.without_the_check.overloads_the_rest")
{
    measureRequests(17);
    REQUIRE(drain(drain_kind::Region, "fukuoka").verdict == command_verdict::Accepted);
}

TEST_CASE_METHOD(operator_fixture, "drain.of_the_last_upstream.is_refused")
{
    REQUIRE(drain(drain_kind::Region, "fukuoka").verdict == command_verdict::Accepted);
    const command_result second = drain(drain_kind::Upstream, "t1");
    REQUIRE_THAT(second.message, Catch::Contains("service 'booking' would have no upstream left"));
}

TEST_CASE_METHOD(operator_fixture, "drain.while_the_load_is_unknown.is_refused")
{
    cluster.setLeader("b");
    cluster.runtime.advance(1s);
    REQUIRE_THAT(drain(drain_kind::Region, "fukuoka").message, Catch::Contains("load is not known"));
}

TEST_CASE_METHOD(operator_fixture, "drain.while_a_vm_does_not_measure.is_refused")
{
    cluster.vm("b").root->services().unpublish(port_names::measurements);
    cluster.runtime.advance(2s);
    REQUIRE_THAT(drain(drain_kind::Region, "fukuoka").message, Catch::Contains("load is not known"));
}

TEST_CASE_METHOD(operator_fixture, "apply.change_that_overloads_a_region.requires_that_the_risk_is_accepted_by_name")
{
    measureRequests(17);
    const command_result first = apply(allToKirishima());
    REQUIRE(first.verdict == command_verdict::Refused);
    REQUIRE_THAT(first.message, Catch::Contains("region-overload: region 'kagoshima'"));
    declaration withAcceptedRisk = allToKirishima();
    withAcceptedRisk.acceptedRisks = { accepted_risk::RegionOverload };
    REQUIRE(apply(withAcceptedRisk).verdict == command_verdict::Accepted);
    REQUIRE(apply(withAcceptedRisk, "b").verdict == command_verdict::AlreadyAccepted);
}

TEST_CASE_METHOD(operator_fixture, "apply.two_operators_with_one_number.get_one_change_and_one_conflict")
{
    declaration other = allToKirishima();
    other.shares.added[0].value.weight = 9;
    std::vector<command_verdict> verdicts;
    port("a").apply(allToKirishima(), [&](auto result) { verdicts.push_back(result->verdict); });
    port("b").apply(other, [&](auto result) { verdicts.push_back(result->verdict); });
    cluster.runtime.advance(1s);
    std::sort(verdicts.begin(), verdicts.end());
    REQUIRE(verdicts == std::vector<command_verdict> { command_verdict::Accepted, command_verdict::Conflict });
}

TEST_CASE_METHOD(operator_fixture, "plan.of_a_change.shows_slots_and_requests_before_and_after")
{
    measureRequests(5);
    const declaration_plan plan = port().plan(allToKirishima());
    REQUIRE(plan.findings.empty());
    const auto showsSlotsAndRequests = [](const std::string& line) {
        return line.starts_with("service 'booking' in 'kirishima': 6 slots for 1.")
            && line.ends_with("requests at once, before 6 for 0.0");
    };
    REQUIRE(std::any_of(plan.changes.begin(), plan.changes.end(), showsSlotsAndRequests));
}

TEST_CASE_METHOD(operator_fixture, "history.revert.is_a_new_change_to_the_earlier_configuration")
{
    const configuration earlier = cluster.vm("a").state().config;
    REQUIRE(apply(allToKirishima()).verdict == command_verdict::Accepted);
    const absl::StatusOr<declaration> back = port().declarationBackTo(change_number(1));
    REQUIRE(back->number == change_number(3));
    REQUIRE(apply(*back).verdict == command_verdict::Accepted);
    configuration now = cluster.vm("a").state().config;
    now.number = earlier.number;
    REQUIRE(now == earlier);
    REQUIRE(absl::IsNotFound(port().declarationBackTo(change_number(9)).status()));
}

TEST_CASE_METHOD(operator_fixture, "status.vm_behind.lowers_the_change_number_in_force_everywhere")
{
    cluster.cut("b");
    apply(allToKirishima());
    REQUIRE(port("a").status().inForceEverywhere == change_number(1));
    cluster.heal("b");
    cluster.runtime.advance(3s);
    REQUIRE(port("c").status().inForceEverywhere == change_number(2));
}

} // namespace plantainlatch
