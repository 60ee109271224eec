#include "support/control_fixture.h"

#include <utility>

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    declared<region_definition> region(const std::string& id, const std::string& left, const std::string& right)
    {
        return { { region_id(id), { failure_domain_id(left), failure_domain_id(right) } }, {} };
    }

    declared<service_definition> serviceNamed(const std::string& id, std::uint64_t slots)
    {
        service_definition item;
        item.id = service_id(id);
        item.slots = slot_count(slots);
        item.connections = 360;
        item.defaultDeadline = 2s;
        item.maximumDeadline = 10s;
        item.maximumBody = byte_count(65536);
        item.keyRetention = 1h;
        return { item, {} };
    }

} // namespace

declaration threeRegionDeclaration()
{
    declaration content;
    content.number = change_number(1);
    content.regions.added = { region("fukuoka", "hakata", "kokura"), region("kumamoto", "chuo-ku", "yatsushiro"),
        region("kagoshima", "tenmonkan", "kirishima") };
    content.services.added = { serviceNamed("booking", 6), serviceNamed("billing", 3) };
    return content;
}

upstream_announcement bookingUpstream(const std::string& id, std::uint16_t port)
{
    upstream_announcement item;
    item.id = upstream_id(id);
    item.generation = upstream_generation(1);
    item.service = service_id("booking");
    item.address = { "127.0.0.1", port };
    item.region = region_id("fukuoka");
    item.failureDomain = failure_domain_id("kokura");
    item.slots = slot_count(6);
    item.connections = 360;
    return item;
}

vm_record vmRecord(const std::string& id, const std::string& region, const std::string& failureDomain)
{
    vm_record record;
    record.id = vm_id(id);
    record.region = region_id(region);
    record.failureDomain = failure_domain_id(failureDomain);
    return record;
}

control_fixture::control_fixture()
{
    settings.self = vmRecord("a", "fukuoka", "kokura");
    settings.vms = { settings.self, vmRecord("b", "kumamoto", "chuo-ku"), vmRecord("c", "kagoshima", "tenmonkan") };
    control = *control_service::create(runtime.hooks(), settings);
    led = { vm_id("a"), log_term(1), true, true };
    log.propose = [this](control_command command, duration, auto done) {
        proposed.push_back(command);
        const command_result result = apply(std::move(command));
        done(result);
        return lastProposal;
    };
    log.state = [this] { return led; };
    log.onLeadership = [this](auto listener) { leadershipListeners.push_back(std::move(listener)); };
    log.applied = [this] { return log_index(sequence); };
    log.voters = [this] {
        voter_set set;
        for (const vm_record& vm : settings.vms)
            set.voters.insert({ vm.id, incarnation(1) });
        return set;
    };
    log.followerAppliedIndices = [] { return std::vector<std::pair<vm_id, log_index>>(); };
}

command_result control_fixture::apply(control_command command)
{
    lastProposal = { vm_id("a"), incarnation(1), ++sequence };
    return port().apply({ lastProposal, runtime.hooks().wallNow(), std::move(command) });
}

void control_fixture::startWith(std::vector<service> items)
{
    root->add(control->asService());
    service logService;
    logService.name = port_names::consensus;
    logService.start = [this](registry& services) { return services.publish(port_names::consensus, log); };
    root->add(std::move(logService));
    for (service& item : items)
        root->add(std::move(item));
    const absl::Status status = root->start();
    if (!status.ok())
        throw std::runtime_error(std::string(status.message()));
}

} // namespace plantainlatch
