#include <catch2/catch.hpp>

#include "decision/control/control_service.h"
#include "decision/placement/placement_service.h"
#include "kernel/kernel.h"
#include "ports/port_names.h"
#include "support/paused_runtime.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    constexpr int upstreamCount = 1482;
    constexpr int joiningCount = 362;

    upstream_announcement makeUpstream(int number, std::uint64_t generation = 1)
    {
        upstream_announcement upstream;
        upstream.id = upstream_id("u" + std::to_string(number));
        upstream.generation = upstream_generation(generation);
        upstream.service = service_id(number % 5 == 0 ? "billing" : "booking");
        upstream.address = { "10.0.0.1", static_cast<std::uint16_t>(1024 + number) };
        upstream.region = region_id("here");
        upstream.failureDomain = failure_domain_id("here-1");
        upstream.slots = slot_count(6);
        return upstream;
    }

    /** An entry whose control state grows by commands of the log, at the size of hundreds of VMs. */
    class placement_scale_fixture {
    protected:
        placement_scale_fixture()
        {
            options.directory = { false, true, false };
            control = *control_service::create(runtime.hooks(), settings, options);
            subject = *placement_service::create(runtime.hooks(), settings);
            core = *kernel::create(runtime.hooks());
            service fakeUpstreams;
            fakeUpstreams.name = port_names::upstreams;
            fakeUpstreams.start
                = [this](registry& services) { return services.publish(port_names::upstreams, upstreams); };
            upstreams.closeIdleConnections = [](const network_address&) {};
            core->add(fakeUpstreams);
            core->add(control->asService());
            core->add(subject->asService());
            REQUIRE(core->start().ok());
            configure(1);
        }

        void apply(control_command command)
        {
            proposal item;
            item.id = { vm_id("control"), incarnation(1), ++sequence };
            item.command = std::move(command);
            (*core->services().find<control_port>(port_names::control))->apply(item);
        }

        void configure(std::uint64_t number)
        {
            replace_configuration change;
            change.content.number = change_number(number);
            for (const char* name : { "booking", "billing" })
                change.content.services[service_id(name)].id = service_id(name);
            change.content.regions[region_id("here")].failureDomains = { failure_domain_id("here-1") };
            apply(change);
        }

        void join(int first, int last)
        {
            for (int i = first; i < last; ++i) {
                apply(upstream_joined { makeUpstream(i) });
                request(i);
            }
        }

        upstream_id request(int number)
        {
            slot_request wanted;
            wanted.service = service_id(number % 5 == 0 ? "billing" : "booking");
            wanted.deadline = runtime.now() + 3s;
            wanted.policy.targetLatency = 600ms;
            wanted.policy.object = std::to_string(number);
            upstream_id chosen;
            slot_port& slots = **core->services().find<slot_port>(port_names::slots);
            slots.acquire(wanted, [&](const slot_answer& answer) {
                if (!answer.slot)
                    return;
                chosen = answer.slot->upstream.id;
                slots.release(answer.slot->handle, {});
            });
            return chosen;
        }

        std::int64_t computedOrders()
        {
            for (const state_dump& child : core->dump().children) {
                if (child.name != port_names::slots)
                    continue;
                for (const state_dump& item : child.children) {
                    if (item.name == "orders_computed")
                        return std::get<std::int64_t>(item.value);
                }
            }
            return -1;
        }

        paused_runtime runtime { 1 };
        vm_settings settings = makeSettings();
        control_options options;
        upstream_port upstreams;
        std::unique_ptr<control_service> control;
        std::unique_ptr<placement_service> subject;
        std::unique_ptr<kernel> core;
        std::uint64_t sequence = 0;

    private:
        static vm_settings makeSettings()
        {
            vm_settings made;
            made.self.id = vm_id("entry");
            made.self.region = region_id("here");
            return made;
        }
    };

} // namespace

TEST_CASE_METHOD(placement_scale_fixture, "placement.hundreds_of_joins.compute_the_orders_only_after_configurations")
{
    join(0, upstreamCount - joiningCount);
    const std::int64_t before = computedOrders();
    REQUIRE(before == 2);
    join(upstreamCount - joiningCount, upstreamCount - joiningCount / 2);
    configure(2);
    join(upstreamCount - joiningCount / 2, upstreamCount);
    configure(3);
    request(0);
    request(1);
    // Two configurations, each with one order for each of the two services.
    REQUIRE(computedOrders() == before + 4);
}

TEST_CASE_METHOD(placement_scale_fixture, "placement.join_at_an_address_in_use.removes_the_former_upstream_there")
{
    join(0, 2);
    upstream_announcement successor = makeUpstream(1, 2);
    successor.id = upstream_id("successor");
    apply(upstream_joined { successor });
    REQUIRE(request(1) == upstream_id("successor"));
    REQUIRE(computedOrders() == 2);
    apply(upstream_left { upstream_id("successor"), upstream_generation(2), true });
    REQUIRE(request(1) == upstream_id());
}

} // namespace plantainlatch
