#include "support/simulated_deployment.h"

namespace plantainlatch::simulated_deployment {

region_id regionOfNumber(std::size_t number) { return region_id("region-" + std::to_string(number % regionCount)); }
vm_id entryName(std::size_t entry) { return vm_id("entry-" + std::to_string(entry)); }
duration oneWay(const region_id& left, const region_id& right)
{
    return left == right ? delayInRegion : delayBetweenRegions;
}

std::size_t randomEntryIn(paused_runtime& runtime, std::size_t region)
{
    const std::size_t inRegion = (entryCount - region + regionCount - 1) / regionCount;
    return region + regionCount * (runtime.random() % inRegion);
}

vm_record entryRecord(std::size_t entry)
{
    vm_record record;
    record.id = entryName(entry);
    record.region = regionOfNumber(entry);
    record.failureDomain = failure_domain_id(record.region.value() + "-a");
    return record;
}

upstream_announcement announcementOf(std::size_t number)
{
    upstream_announcement upstream;
    upstream.id = upstream_id("u" + std::to_string(number));
    upstream.generation = upstream_generation(1);
    upstream.service = service_id("catalogo");
    upstream.address = { "127.0.0.1", static_cast<std::uint16_t>(9000 + number) };
    upstream.region = regionOfNumber(number);
    upstream.failureDomain = failure_domain_id(upstream.region.value() + "-a");
    upstream.slots = slot_count(slotsPerUpstream);
    upstream.connections = 390;
    return upstream;
}

control_snapshot initialState()
{
    control_snapshot state;
    service_definition service;
    service.id = service_id("catalogo");
    service.slots = slot_count(slotsPerUpstream);
    service.connections = 390;
    service.defaultDeadline = callerDeadline;
    service.maximumDeadline = 2s;
    service.maximumBody = byte_count(1024);
    service.keyRetention = 1h;
    state.config.services.emplace(service.id, service);
    for (std::size_t i = 0; i < regionCount; ++i) {
        const region_id region = regionOfNumber(i);
        state.config.regions[region] = { region, { failure_domain_id(region.value() + "-a") } };
        state.allocators[region] = { entryName(i), incarnation(i + 1), allocator_epoch(1) };
    }
    for (std::size_t i = 0; i < upstreamCount; ++i)
        state.directory[announcementOf(i).id] = { announcementOf(i), {} };
    return state;
}

} // namespace plantainlatch::simulated_deployment
