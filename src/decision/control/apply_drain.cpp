#include "decision/control/apply_drain.h"

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
    const bool isDraining = state.drains.contains(command.target);
    if (isDraining == command.draining)
        return alreadyAccepted();
    if (!command.draining) {
        state.drains.erase(command.target);
        return accepted();
    }
    if (!isKnownTarget(state, command.target))
        return refused(absl::StrCat(describeTarget(command.target), " is not known"));
    state.drains.insert(command.target);
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
