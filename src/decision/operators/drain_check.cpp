#include "decision/operators/drain_check.h"

#include "decision/control/apply_drain.h"
#include "decision/operators/capacity_model.h"

namespace plantainlatch {

namespace {

    bool leavesUndrainedEntry(const control_snapshot& state, const drain_target& target)
    {
        control_snapshot after;
        after.drains = state.drains;
        after.drains.insert(target);
        for (const auto& [id, started] : state.vms) {
            if (!isVmDraining(after, started.record))
                return true;
        }
        return state.vms.empty();
    }

    bool isInTarget(const control_snapshot& state, const failure_domain_id& domain, const drain_target& target)
    {
        switch (target.kind) {
        case drain_kind::Vm:
            return false;
        case drain_kind::Upstream: {
            const auto found = state.directory.find(upstream_id(target.name));
            return found != state.directory.end() && found->second.announcement.failureDomain == domain;
        }
        case drain_kind::FailureDomain:
            return domain.value() == target.name;
        case drain_kind::Region:
            return regionOf(state.config, domain).value() == target.name;
        }
        return false;
    }

} // namespace

std::vector<std::string> findDrainRisks(
    const control_snapshot& state, const drain_target& target, const std::vector<service_load>& loads)
{
    std::vector<std::string> reasons;
    if (!leavesUndrainedEntry(state, target))
        reasons.emplace_back("no undrained entry would be left");
    std::set<drain_target> drains = state.drains;
    drains.insert(target);
    const auto before = estimateCapacity({ state, state.config, state.drains, loads });
    const auto after = estimateCapacity({ state, state.config, drains, loads });
    for (const capacity_risk& risk : findNewRisks(before, after))
        reasons.push_back(describeRisk(risk));
    return reasons;
}

double requestRateAt(const control_snapshot& state, const drain_target& target, const std::vector<service_load>& loads)
{
    double sum = 0;
    for (const service_load& load : loads) {
        if (isInTarget(state, load.failureDomain, target))
            sum += load.perSecond;
    }
    return sum;
}

} // namespace plantainlatch
