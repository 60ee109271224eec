#include "decision/control/apply_role.h"

#include "absl/strings/str_cat.h"
#include "core/internal_assert.h"
#include "decision/control/command_results.h"

namespace plantainlatch {

namespace {

    allocator_epoch currentEpoch(const control_snapshot& state, const region_id& region)
    {
        const auto found = state.allocators.find(region);
        return found == state.allocators.end() ? allocator_epoch() : found->second.epoch;
    }

} // namespace

command_result applyVmStart(control_snapshot& state, const proposal& item, const vm_started& command)
{
    vm_start_record& record = state.vms[command.record.id];
    if (record.record == command.record && record.start == command.start)
        return alreadyAccepted();
    const bool isFirstStart = record.record.id.empty();
    const bool isSameStart = !isFirstStart && record.start == command.start;
    const bool earlierWorkEnded = isFirstStart || (record.earlierWorkEnded && (isSameStart || record.stopped));
    record = { command.record, command.start, item.proposedAt, false, earlierWorkEnded };
    return accepted();
}

command_result applyVmStop(control_snapshot& state, const vm_stopped& command)
{
    const auto found = state.vms.find(command.vm);
    if (found == state.vms.end() || found->second.start != command.start)
        return refused(absl::StrCat("vm '", command.vm.value(), "' does not run under that incarnation"));
    found->second.stopped = true;
    found->second.earlierWorkEnded = found->second.earlierWorkEnded || command.earlierWorkEnded;
    return accepted();
}

command_result applyAllocator(control_snapshot& state, const assign_allocator& command)
{
    const allocator_epoch next = currentEpoch(state, command.region).next();
    if (command.epoch != next)
        return refused(absl::StrCat("the next allocator epoch of region '", command.region.value(), "' is ",
            next.value(), ", not ", command.epoch.value()));
    const auto vm = state.vms.find(command.vm);
    if (vm == state.vms.end() || vm->second.start != command.start)
        return refused(absl::StrCat("vm '", command.vm.value(), "' does not run under that incarnation"));
    state.allocators[command.region] = { command.vm, command.start, command.epoch };
    return accepted();
}

} // namespace plantainlatch
