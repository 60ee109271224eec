#include "decision/vm/steering_vm.h"

namespace plantainlatch {

namespace {

    /** Makes one service into its place; a failure is kept in `status` and ends the making of the later ones. */
    template <typename Service, typename Options>
    void make(absl::Status& status, std::unique_ptr<Service>& place, const kernel_hooks& hooks,
        const vm_settings& settings, Options options)
    {
        if (!status.ok())
            return;
        absl::StatusOr<std::unique_ptr<Service>> made = Service::create(hooks, settings, std::move(options));
        if (made.ok())
            place = std::move(*made);
        else
            status = made.status();
    }

} // namespace

absl::StatusOr<std::unique_ptr<steering_vm>> steering_vm::create(
    const kernel_hooks& hooks, const vm_settings& settings, steering_options options)
{
    std::unique_ptr<steering_vm> vm(new steering_vm);
    absl::Status status;
    vm->m_router = peer_router::create();
    make(status, vm->m_control, hooks, settings, options.control);
    make(status, vm->m_consensus, hooks, settings, options.consensus);
    make(status, vm->m_membership, hooks, settings, options.membership);
    make(status, vm->m_directory, hooks, settings, options.directory);
    make(status, vm->m_shifts, hooks, settings, options.shifts);
    make(status, vm->m_slots, hooks, settings, options.slots);
    make(status, vm->m_requests, hooks, settings, options.requests);
    make(status, vm->m_entryList, hooks, settings, options.entryList);
    make(status, vm->m_alerts, hooks, settings, options.alerts);
    make(status, vm->m_operators, hooks, settings, options.operators);
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
