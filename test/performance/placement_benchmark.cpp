/** \file
 * Measures how the processor time of placement_service grows with the number of upstreams: for one join that is
 * compared with the whole state, for one that is applied as a change of one upstream, and for one request.
 */

#include <chrono>
#include <cstdio>
#include <string>

#include "decision/placement/placement_service.h"
#include "kernel/kernel.h"
#include "ports/port_names.h"
#include "support/paused_runtime.h"

namespace {

using namespace plantainlatch;
using clock_type = std::chrono::steady_clock;

constexpr std::size_t upstreamCounts[] = { 36, 360, 1500, 5000 };
constexpr int regionCount = 3;
constexpr int joinCount = 100;
constexpr int requestCount = 2000;

upstream_announcement makeUpstream(std::size_t number)
{
    upstream_announcement upstream;
    upstream.id = upstream_id("upstream-" + std::to_string(number));
    upstream.generation = upstream_generation(1);
    upstream.service = service_id("booking");
    upstream.address = { "10.0.0.1", static_cast<std::uint16_t>(1024 + number) };
    upstream.region = region_id("region-" + std::to_string(number % regionCount));
    upstream.slots = slot_count(6);
    return upstream;
}

/** One entry with a directory that the benchmark fills. */
class placement_rig {
public:
    placement_rig()
    {
        m_settings.self.id = vm_id("entry");
        m_settings.self.region = region_id("region-0");
        m_control.state = [this]() -> const control_snapshot& { return m_state; };
        m_control.onSteeringChange
            = [this](std::function<void(const steering_change&)> listener) { m_notify = std::move(listener); };
        m_state.config.services[service_id("booking")].coldRate = 1;
        for (int i = 0; i < regionCount; ++i) {
            region_definition& region = m_state.config.regions[region_id("region-" + std::to_string(i))];
            region.failureDomains = { failure_domain_id("domain-" + std::to_string(i)) };
        }
        m_subject = *placement_service::create(m_runtime.hooks(), m_settings);
        m_core = *kernel::create(m_runtime.hooks());
        addFake(port_names::control, m_control);
        addFake(port_names::upstreams, m_upstreams);
        m_core->add(m_subject->asService());
        if (!m_core->start().ok())
            std::printf("the placement service did not start\n");
        m_slots = *m_core->services().find<slot_port>(port_names::slots);
    }

    void join(steering_scope scope)
    {
        const upstream_announcement upstream = makeUpstream(m_state.directory.size());
        m_state.directory[upstream.id] = { upstream, {} };
        m_notify({ scope, { upstream.id } });
    }

    void request(int number)
    {
        slot_request request;
        request.service = service_id("booking");
        request.deadline = m_runtime.now() + std::chrono::seconds(3);
        request.policy.route = route_id("route");
        request.policy.object = "object-" + std::to_string(number);
        request.policy.targetLatency = std::chrono::milliseconds(600);
        m_slots->acquire(request, [this](const slot_answer& answer) {
            if (answer.slot)
                m_slots->release(answer.slot->handle, {});
        });
    }

private:
    template <typename Port> void addFake(const char* name, Port& port)
    {
        service item;
        item.name = name;
        item.start = [name, &port](registry& services) { return services.publish(name, port); };
        m_core->add(item);
    }

    paused_runtime m_runtime { 1 };
    vm_settings m_settings;
    control_snapshot m_state;
    control_port m_control;
    upstream_port m_upstreams;
    std::function<void(const steering_change&)> m_notify;
    std::unique_ptr<placement_service> m_subject;
    std::unique_ptr<kernel> m_core;
    slot_port* m_slots = nullptr;
};

template <typename Action> double microsecondsEach(int count, Action&& action)
{
    const auto begun = clock_type::now();
    for (int i = 0; i < count; ++i)
        action(i);
    return std::chrono::duration<double, std::micro>(clock_type::now() - begun).count() / count;
}

} // namespace

int main()
{
    std::printf("%10s %22s %22s %12s\n", "upstreams", "join, whole state, us", "join, one change, us", "request, us");
    for (const std::size_t count : upstreamCounts) {
        placement_rig rig;
        for (std::size_t i = 0; i < count; ++i)
            rig.join(steering_scope::Upstreams);
        rig.request(0);
        // A request after each join makes the rig compute the orders that the join has discarded.
        const double request = microsecondsEach(requestCount, [&](int i) { rig.request(i); });
        const double whole = microsecondsEach(joinCount, [&](int i) {
            rig.join(steering_scope::Everything);
            rig.request(i);
        });
        const double single = microsecondsEach(joinCount, [&](int i) {
            rig.join(steering_scope::Upstreams);
            rig.request(i);
        });
        std::printf("%10zu %22.1f %22.1f %12.1f\n", count, whole - request, single - request, request);
    }
}
