#include <catch2/catch.hpp>

#include "decision/slots/slot_allocator.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    /** One upstream with four slots, and a holder to which all available ones are allocated. */
    class slot_allocator_fixture {
    protected:
        void begin(std::uint32_t warmSlots)
        {
            options.coldSlots = warmSlots;
            subject = std::make_unique<slot_allocator>(
                region_id("r"), allocator_epoch(1), std::set<vm_id> {}, now, options);
            setGeneration(1);
            REQUIRE(grantedSlots("holder", 1, warmSlots, {}) == warmSlots);
        }

        void setGeneration(std::uint64_t generation)
        {
            upstream_table table;
            usable_upstream& item = table.upstreams[upstream_id("u")];
            item.announcement.id = upstream_id("u");
            item.announcement.generation = upstream_generation(generation);
            item.announcement.service = service_id("s");
            item.announcement.region = region_id("r");
            item.announcement.slots = slot_count(4);
            item.capacity = 4;
            subject->setUpstreams(table, 1s, now);
        }

        /** Sends a report of a VM and returns how many slots the grant gives it. */
        std::uint32_t grantedSlots(
            const std::string& vm, std::uint64_t sequence, std::uint32_t waiting, std::vector<per_upstream_count> held)
        {
            slot_report report;
            report.region = region_id("r");
            report.epoch = allocator_epoch(1);
            report.start = incarnation(1);
            report.sequence = sequence;
            report.held = std::move(held);
            report.demands.emplace_back();
            report.demands.back().service = service_id("s");
            report.demands.back().waiting = waiting;
            std::uint32_t count = 0;
            for (const addressed_grant& item : subject->report({ vm_id(vm), true, false }, report, now)) {
                for (const per_upstream_count& entry : item.grant.granted)
                    count += item.to == vm_id(vm) ? entry.count : 0;
            }
            return count;
        }

        time_point now { 1h };
        slot_allocator_options options;
        std::unique_ptr<slot_allocator> subject;
    };

} // namespace

TEST_CASE_METHOD(slot_allocator_fixture,
    "slot_allocator.restarted_upstream.is_not_allocated_before_its_earlier_generation_is_returned")
{
    begin(4);
    setGeneration(2);
    REQUIRE(grantedSlots("other", 1, 2, {}) == 0);
    grantedSlots("holder", 2, 0, {});
    REQUIRE(grantedSlots("other", 2, 2, {}) == 2);
}

TEST_CASE_METHOD(
    slot_allocator_fixture, "slot_allocator.recalled_slot.is_allocated_to_the_waiting_vm_not_to_its_former_holder")
{
    begin(1);
    REQUIRE(grantedSlots("other", 1, 1, {}) == 0);
    REQUIRE(grantedSlots("holder", 2, 0, {}) == 0);
    REQUIRE(grantedSlots("other", 2, 1, { { upstream_id("u"), upstream_generation(1), 1 } }) == 1);
}

} // namespace plantainlatch
