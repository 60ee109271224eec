#include <catch2/catch.hpp>

#include "decision/shifts/shift_service.h"
#include "decision/shifts/split_cap.h"
#include "support/control_cluster.h"
#include "support/control_fixture.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    class shift_fixture {
    protected:
        shift_fixture()
            : cluster(11, 3, {}, [this](control_cluster& owner, cluster_vm& vm) { addServices(owner, vm); })
        {
            declaration content = threeRegionDeclaration();
            content.shifts.added = { { { shift, service_id("booking"), kokura, kirishima, 60, 100, 20, 4s }, {} } };
            cluster.apply(apply_declaration { content });
            upstream_announcement target = bookingUpstream("t1", 9100);
            target.region = region_id("kagoshima");
            target.failureDomain = kirishima;
            cluster.apply(upstream_joined { target });
        }

        void addServices(control_cluster& owner, cluster_vm& vm)
        {
            services.push_back(*shift_service::create(owner.runtime.hooks(), vm.settings));
            vm.root->add(services.back()->asService());
            measurements.push_back(std::make_unique<measurement_port>());
            measurement_port& port = *measurements.back();
            port.take = [this] { return reported; };
            service item;
            item.name = port_names::measurements;
            item.start = [&port](registry& names) { return names.publish(port_names::measurements, port); };
            vm.root->add(std::move(item));
        }

        void measure(duration targetLatency, std::uint64_t failed = 0)
        {
            reported = { { service_id("booking"), kokura, 20, 0, 0, 10ms, 20ms },
                { service_id("booking"), kirishima, 10, failed, 0, targetLatency, 2 * targetLatency } };
        }

        shift_record record() { return cluster.vm("a").state().shifts.at(shift); }

        const shift_id shift { "move" };
        const failure_domain_id kokura { "kokura" };
        const failure_domain_id kirishima { "kirishima" };
        std::vector<std::unique_ptr<shift_service>> services;
        std::vector<std::unique_ptr<measurement_port>> measurements;
        std::vector<service_measurement> reported;
        control_cluster cluster;
    };

} // namespace

TEST_CASE_METHOD(shift_fixture, "shift.healthy_target.advances_to_the_final_percentage")
{
    measure(10ms);
    cluster.runtime.advance(6s);
    REQUIRE(record().percent == 20);
    cluster.runtime.advance(4s);
    REQUIRE(record().percent == 40);
    cluster.runtime.advance(20s);
    REQUIRE(record().percent == 60);
    REQUIRE(record().phase == shift_phase::Done);
}

TEST_CASE_METHOD(shift_fixture, "shift.missing_measurements.hold_it_until_they_return")
{
    cluster.runtime.advance(20s);
    REQUIRE(record().percent == 0);
    REQUIRE(record().phase == shift_phase::Held);
    measure(10ms);
    cluster.runtime.advance(3s);
    REQUIRE(record().percent == 20);
    reported.clear();
    cluster.runtime.advance(30s);
    REQUIRE(record().percent <= 40);
    REQUIRE(record().phase == shift_phase::Held);
}

TEST_CASE_METHOD(shift_fixture, "shift.unhealthy_target.undoes_a_step")
{
    measure(10ms);
    cluster.runtime.advance(10s);
    REQUIRE(record().percent == 40);
    measure(10ms, 5);
    cluster.runtime.advance(6s);
    REQUIRE(record().percent == 20);
    REQUIRE(record().phase == shift_phase::Held);
}

TEST_CASE_METHOD(shift_fixture, "shift.cold_target.holds_the_shift_until_it_is_warm")
{
    measure(10ms);
    cluster.runtime.advance(6s);
    REQUIRE(record().percent == 20);
    measure(22ms);
    cluster.runtime.advance(20s);
    REQUIRE(record().percent == 20);
    measure(11ms);
    cluster.runtime.advance(5s);
    REQUIRE(record().percent == 40);
}

TEST_CASE_METHOD(shift_fixture, "shift.target_without_capacity.holds_the_shift")
{
    measure(10ms);
    cluster.runtime.advance(6s);
    REQUIRE(record().percent == 20);
    reported[1].answered = 200;
    cluster.runtime.advance(20s);
    REQUIRE(record().percent == 20);
}

TEST_CASE_METHOD(shift_fixture, "shift.new_leader.continues_with_the_same_baseline")
{
    measure(10ms);
    cluster.runtime.advance(6s);
    cluster.cut("a");
    cluster.setLeader("b");
    cluster.runtime.advance(10s);
    cluster.heal("a");
    cluster.runtime.advance(30s);
    REQUIRE(record().phase == shift_phase::Done);
    REQUIRE(record().baseline == 10ms);
    REQUIRE(record().step == 3);
}

TEST_CASE_METHOD(shift_fixture, "shift.step_after_another_leaders_step.is_refused")
{
    const step_shift step { shift, 0, 20, shift_phase::Running, {} };
    REQUIRE(cluster.apply(step).verdict == command_verdict::Accepted);
    REQUIRE(cluster.apply(step).verdict == command_verdict::Refused);
    REQUIRE(record().percent == 20);
}

TEST_CASE("split_cap.small_cap.goes_to_the_vms_with_demand")
{
    const auto shares = splitCap(2, { { vm_id("a"), 0 }, { vm_id("b"), 30 }, { vm_id("c"), 0 } });
    REQUIRE(shares.at(vm_id("b")) == 2);
    REQUIRE(splitCap(7, { { vm_id("a"), 1 }, { vm_id("b"), 1 } }).at(vm_id("a")) == 4);
    REQUIRE(splitCap(5, {}).empty());
}

} // namespace plantainlatch
