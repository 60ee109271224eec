#include "decision/control/apply_drain.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "core/internal_assert.h"
#include "decision/control/command_results.h"

namespace plantainlatch {

namespace {

    bool isLocationDraining(
        const control_snapshot& state, const region_id& region, const failure_domain_id& failureDomain)
    {
        return state.drains.contains({ drain_kind::Region, region.value() })
            || state.drains.contains({ drain_kind::FailureDomain, failureDomain.value() });
    }

    std::uint64_t lastOrderFor(const drain_order_table& orders, const drain_target& target)
    {
        const auto found = orders.lastByTarget.find(target);
        return found != orders.lastByTarget.end() ? found->second : orders.forgotten;
    }

    /** Orders that change nothing count as well: the state that they confirm must not be changed by an earlier one. */
    void recordOrder(drain_order_table& orders, const drain_target& target)
    {
        orders.lastByTarget[target] = ++orders.last;
        if (orders.lastByTarget.size() <= maximumDrainOrders)
            return;
        const auto earliest = std::min_element(orders.lastByTarget.begin(), orders.lastByTarget.end(),
            [](const auto& left, const auto& right) { return left.second < right.second; });
        orders.forgotten = earliest->second;
        orders.lastByTarget.erase(earliest);
    }

} // namespace

std::string describeTarget(const drain_target& target)
{
    switch (target.kind) {
    case drain_kind::Vm:
        return absl::StrCat("vm '", target.name, "'");
    case drain_kind::Upstream:
        return absl::StrCat("upstream '", target.name, "'");
    case drain_kind::FailureDomain:
        return absl::StrCat("failure domain '", target.name, "'");
    case drain_kind::Region:
        return absl::StrCat("region '", target.name, "'");
    }
    internal_assert(false) << "drain kind " << static_cast<int>(target.kind);
    return {};
}

bool isKnownTarget(const control_snapshot& state, const drain_target& target)
{
    switch (target.kind) {
    case drain_kind::Vm:
        return state.vms.contains(vm_id(target.name));
    case drain_kind::Upstream:
        return state.directory.contains(upstream_id(target.name));
    case drain_kind::FailureDomain:
        return !regionOf(state.config, failure_domain_id(target.name)).empty();
    case drain_kind::Region:
        return state.config.regions.contains(region_id(target.name));
    }
    internal_assert(false) << "drain kind " << static_cast<int>(target.kind);
    return false;
}

command_result applyDrain(control_snapshot& state, const set_drain& command)
{
    if (command.after && lastOrderFor(state.drainOrders, command.target) > *command.after)
        return conflict(absl::StrCat("a later order for ", describeTarget(command.target), " was accepted"));
    const bool isDraining = state.drains.contains(command.target);
    const bool begins = command.draining && !isDraining;
    if (begins && !isKnownTarget(state, command.target))
        return refused(absl::StrCat(describeTarget(command.target), " is not known"));
    recordOrder(state.drainOrders, command.target);
    if (isDraining == command.draining)
        return alreadyAccepted();
    if (begins)
        state.drains.insert(command.target);
    else
        state.drains.erase(command.target);
    return accepted();
}

bool isUpstreamDraining(const control_snapshot& state, const upstream_announcement& upstream)
{
    return state.drains.contains({ drain_kind::Upstream, upstream.id.value() })
        || isLocationDraining(state, upstream.region, upstream.failureDomain);
}

bool isVmDraining(const control_snapshot& state, const vm_record& vm)
{
    return state.drains.contains({ drain_kind::Vm, vm.id.value() })
        || isLocationDraining(state, vm.region, vm.failureDomain);
}

} // namespace plantainlatch
