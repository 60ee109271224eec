#include "decision/membership/allocator_assignment.h"

#include <algorithm>
#include <tuple>

namespace plantainlatch {

namespace {

    bool isOfRegion(const control_snapshot& state, const vm_id& vm, const region_id& region)
    {
        const auto found = state.vms.find(vm);
        return found != state.vms.end() && found->second.record.region == region;
    }

    bool isEligible(const control_snapshot& state, const vm_report& report)
    {
        // A drain of the VM's failure domain or region does not move the role: the VM itself still works, and a new
        // allocator would have to wait until the earlier slot leases have ended.
        return !report.last.draining && !state.drains.contains({ drain_kind::Vm, report.last.vm.value() });
    }

    std::size_t roleCount(const control_snapshot& state, const vm_id& vm)
    {
        return static_cast<std::size_t>(std::count_if(state.allocators.begin(), state.allocators.end(),
            [&](const auto& entry) { return entry.second.vm == vm; }));
    }

    const vm_report* findReport(const std::vector<vm_report>& live, const allocator_record& record)
    {
        const auto found = std::find_if(live.begin(), live.end(),
            [&](const vm_report& report) { return report.last.vm == record.vm && report.last.start == record.start; });
        return found == live.end() ? nullptr : &*found;
    }

    const vm_report* findPreferred(
        const control_snapshot& state, const region_id& region, const std::vector<vm_report>& live)
    {
        const vm_report* preferred = nullptr;
        const auto rank = [&](const vm_report& report) {
            return std::make_tuple(!isEligible(state, report), !isOfRegion(state, report.last.vm, region),
                roleCount(state, report.last.vm), report.last.vm);
        };
        for (const vm_report& report : live) {
            if (preferred == nullptr || rank(report) < rank(*preferred))
                preferred = &report;
        }
        return preferred;
    }

    bool isStableInRegion(
        const control_snapshot& state, const region_id& region, const vm_report& report, time_point now)
    {
        return isEligible(state, report) && isOfRegion(state, report.last.vm, region)
            && now - report.aliveSince >= localTakeoverDelay;
    }

    assign_allocator assignmentTo(const vm_report& report, const region_id& region, allocator_epoch current)
    {
        return { region, report.last.vm, report.last.start, current.next() };
    }

} // namespace

std::optional<assign_allocator> chooseAllocator(
    const control_snapshot& state, const region_id& region, const std::vector<vm_report>& live, time_point now)
{
    const vm_report* preferred = findPreferred(state, region, live);
    if (preferred == nullptr)
        return {};
    const auto current = state.allocators.find(region);
    if (current == state.allocators.end())
        return assignmentTo(*preferred, region, allocator_epoch());
    const allocator_record& record = current->second;
    const vm_report* holder = findReport(live, record);
    const bool canImprove = isEligible(state, *preferred) || holder == nullptr;
    if (holder == nullptr || (!isEligible(state, *holder) && canImprove && preferred != holder))
        return assignmentTo(*preferred, region, record.epoch);
    const bool isOutside = !isOfRegion(state, record.vm, region);
    if (isOutside && isStableInRegion(state, region, *preferred, now))
        return assignmentTo(*preferred, region, record.epoch);
    return {};
}

} // namespace plantainlatch
