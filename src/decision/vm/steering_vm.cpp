#include "decision/vm/steering_vm.h"

#include "decision/vm/make_service.h"

namespace plantainlatch {

absl::StatusOr<std::unique_ptr<steering_vm>> steering_vm::create(
    const kernel_hooks& hooks, const vm_settings& settings, steering_options options)
{
    std::unique_ptr<steering_vm> vm(new steering_vm);
    absl::Status status;
    vm->m_router = peer_router::create();
    makeService(status, vm->m_control, hooks, settings, options.control);
    makeService(status, vm->m_consensus, hooks, settings, options.consensus);
    makeService(status, vm->m_membership, hooks, settings, options.membership);
    makeService(status, vm->m_directory, hooks, settings, options.directory);
    makeService(status, vm->m_shifts, hooks, settings, options.shifts);
    makeService(status, vm->m_slots, hooks, settings, options.slots);
    makeService(status, vm->m_requests, hooks, settings, options.requests);
    makeService(status, vm->m_entryList, hooks, settings, options.entryList);
    makeService(status, vm->m_alerts, hooks, settings, options.alerts);
    makeService(status, vm->m_operators, hooks, settings, options.operators);
    if (!status.ok())
        return status;
    return vm;
}

void steering_vm::addTo(kernel& core)
{
    core.add(m_router->asService());
    core.add(m_control->asService());
    core.add(m_consensus->asService());
    core.add(m_membership->asService());
    core.add(m_directory->asService());
    core.add(m_shifts->asService());
    core.add(m_slots->asService());
    core.add(m_requests->asService());
    core.add(m_entryList->asService());
    core.add(m_alerts->asService());
    core.add(m_operators->asService());
}

} // namespace plantainlatch
