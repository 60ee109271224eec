#include <string>

#include <catch2/catch.hpp>

#include "decision/control/apply_role.h"
#include "decision/slots/slot_allocator.h"

namespace plantainlatch {

namespace {

    class vm_stop_fixture {
    protected:
        vm_stop_fixture()
        {
            vm.id = vm_id("e1");
            usable_upstream upstream;
            upstream.announcement.id = upstream_id("u");
            upstream.announcement.service = service_id("booking");
            upstream.announcement.region = region_id("r");
            upstream.announcement.slots = slot_count(2);
            upstream.capacity = 2;
            upstream.maximumDeadline = std::chrono::seconds(30);
            table.upstreams[upstream.announcement.id] = upstream;
            table.byService[upstream.announcement.service] = { upstream.announcement.id };
        }

        void start(std::uint64_t number) { applyVmStart(state, {}, { vm, incarnation(number) }); }
        void stop(std::uint64_t number, bool ranLong = false)
        {
            applyVmStop(state, { vm.id, incarnation(number), ranLong });
        }
        bool earlierWorkEnded() const { return state.vms.at(vm.id).earlierWorkEnded; }

        /** The number of slots of u that a new allocator counts as allocated after e2 has requested one: those that it
         * allocated to e2, and those that an earlier epoch may have allocated to a VM that has not reported yet. */
        std::uint32_t allocatedByNewAllocator()
        {
            const time_point now;
            slot_allocator allocator(region_id("r"), allocator_epoch(2), { vm_id("e1"), vm_id("e2") }, now, {});
            allocator.setUpstreams(table, std::chrono::seconds(30), now);
            const vm_start_record& record = state.vms.at(vm.id);
            if (record.stopped && record.earlierWorkEnded)
                allocator.markStopped(vm.id);
            slot_report report;
            report.epoch = allocator_epoch(2);
            report.start = incarnation(1);
            report.sequence = 1;
            report.demands.push_back({ service_id("booking"), {}, 1, 0 });
            allocator.report({ vm_id("e2"), true, true }, report, now);
            return allocator.allocated(upstream_id("u"));
        }

        control_snapshot state;
        vm_record vm;
        upstream_table table;
    };

} // namespace

TEST_CASE_METHOD(vm_stop_fixture, "vm_stop.graceful_stops_in_a_row.leave_no_work_of_earlier_starts")
{
    start(1);
    REQUIRE(earlierWorkEnded());
    stop(1);
    start(2);
    REQUIRE(earlierWorkEnded());
}

TEST_CASE_METHOD(vm_stop_fixture, "vm_stop.killed_vm.may_leave_work_until_a_later_start_has_run_long")
{
    start(1);
    start(2);
    REQUIRE_FALSE(earlierWorkEnded());
    stop(2);
    start(3);
    REQUIRE_FALSE(earlierWorkEnded());
    stop(3, true);
    start(4);
    REQUIRE(earlierWorkEnded());
}

TEST_CASE_METHOD(vm_stop_fixture, "vm_stop.of_an_earlier_start.is_refused")
{
    start(1);
    start(2);
    stop(1);
    REQUIRE_FALSE(state.vms.at(vm.id).stopped);
}

TEST_CASE_METHOD(vm_stop_fixture, "vm_stop.stopped_vm.does_not_delay_a_new_slot_allocator")
{
    start(1);
    REQUIRE(allocatedByNewAllocator() == 2); // an earlier epoch may have allocated both, so e2 gets none
    stop(1);
    REQUIRE(allocatedByNewAllocator() == 1);
}

} // namespace plantainlatch
