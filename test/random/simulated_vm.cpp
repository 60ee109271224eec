#include "simulated_vm.h"

namespace plantainlatch {

namespace {

    template <typename Port> service publishing(const char* name, Port& port)
    {
        service item;
        item.name = name;
        item.start = [name, &port](registry& services) { return services.publish(name, port); };
        return item;
    }

    template <typename Port> void findPort(kernel& core, const char* name, Port*& port)
    {
        const absl::StatusOr<Port*> found = core.services().find<Port>(name);
        port = found.ok() ? *found : nullptr;
    }

} // namespace

absl::Status simulated_vm::start(const simulation_context& context)
{
    life = std::make_shared<bool>(true);
    stopping = false;
    highestApplied = log_index();
    highestNumber = change_number();
    const kernel_hooks hooks = processHooks(context.runtime, life);
    peers = context.network.attach(record.id, life);
    storage = disk->attach(life);
    calls = context.upstreams.attach(record.id, life);
    vm_settings settings;
    settings.self = record;
    settings.vms = context.records;
    absl::StatusOr<std::unique_ptr<steering_vm>> created = steering_vm::create(hooks, settings, context.options);
    if (!created.ok())
        return created.status();
    decisions = std::move(*created);
    core = *kernel::create(hooks);
    absl::Status status = startServices();
    if (!status.ok())
        kill();
    return status;
}

absl::Status simulated_vm::startServices()
{
    core->add(publishing(port_names::peers, peers));
    core->add(publishing(port_names::upstreams, calls));
    if (record.replica)
        core->add(publishing(port_names::storage, storage));
    decisions->addTo(*core);
    absl::Status status = core->start();
    if (!status.ok())
        return status;
    findPort(*core, port_names::consensus, log);
    findPort(*core, port_names::control, control);
    findPort(*core, port_names::directory, directory);
    findPort(*core, port_names::requests, requests);
    findPort(*core, port_names::shifts, shifts);
    return status;
}

void simulated_vm::kill()
{
    if (!running())
        return;
    life.reset();
    core.reset();
    decisions.reset();
    disk->crash();
}

} // namespace plantainlatch
