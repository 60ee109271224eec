#include <catch2/catch.hpp>

#include "decision/slots/slot_allocator.h"

namespace plantainlatch {

namespace {

    constexpr time_point start { std::chrono::hours(1) };

    /** Two VMs of one region and one new upstream: only one of its slots is allocated before it has answered. */
    class slot_allocation_order_fixture {
    protected:
        slot_allocation_order_fixture()
        {
            usable_upstream upstream;
            upstream.announcement.id = upstream_id("work-1");
            upstream.announcement.service = service_id("work");
            upstream.announcement.region = region_id("north");
            upstream.announcement.slots = slot_count(4);
            upstream.capacity = 4;
            upstream_table table;
            table.upstreams[upstream.announcement.id] = upstream;
            subject.setUpstreams(table, std::chrono::seconds(5), start);
        }

        std::vector<addressed_grant> report(
            const std::string& vm, std::uint32_t held, std::uint32_t waiting, std::uint32_t idle)
        {
            slot_report message;
            message.region = region_id("north");
            message.epoch = allocator_epoch(1);
            message.start = incarnation(1);
            message.sequence = ++sequence;
            if (held > 0)
                message.held.push_back({ upstream_id("work-1"), upstream_generation(), held });
            message.demands.push_back({ service_id("work"), {}, waiting, idle });
            return subject.report({ vm_id(vm), true, false }, message, start);
        }

        static std::uint32_t grantedTo(const std::string& vm, const std::vector<addressed_grant>& grants)
        {
            std::uint32_t count = 0;
            for (const addressed_grant& grant : grants) {
                for (const per_upstream_count& entry : grant.grant.granted)
                    count += grant.to == vm_id(vm) ? entry.count : 0;
            }
            return count;
        }

        slot_allocator subject { region_id("north"), allocator_epoch(1), {}, start, {} };
        std::uint64_t sequence = 0;
    };

} // namespace

TEST_CASE_METHOD(
    slot_allocation_order_fixture, "slot_allocator.slot_returned_by_an_idle_holder.is_allocated_to_the_waiting_one")
{
    REQUIRE(grantedTo("e4", report("e4", 0, 0, 0)) == 1);
    REQUIRE(grantedTo("e1", report("e1", 0, 1, 0)) == 0);
    const auto grants = report("e4", 0, 0, 0);
    CHECK(grantedTo("e1", grants) == 1);
    CHECK(grantedTo("e4", grants) == 0);
}

} // namespace plantainlatch
