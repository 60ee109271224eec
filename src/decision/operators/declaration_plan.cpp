#include "decision/operators/declaration_plan.h"

#include <algorithm>
#include <map>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "decision/control/apply_change.h"
#include "decision/declarations/declaration_merge.h"
#include "decision/declarations/definition_names.h"
#include "decision/operators/capacity_model.h"

namespace plantainlatch {

namespace {

    std::string describeValue(const region_definition& item)
    {
        return absl::StrCat(" with ", item.failureDomains.size(), " failure domains");
    }

    std::string describeValue(const link_definition& item)
    {
        return absl::StrCat(" with ", item.budget.value(), " bytes per second in each direction");
    }

    std::string describeValue(const service_definition& item)
    {
        return absl::StrCat(" with ", item.slots.value(), " slots and ", item.connections, " connections per upstream");
    }

    std::string describeValue(const share_definition& item) { return absl::StrCat(" with weight ", item.weight); }

    std::string describeValue(const upstream_definition& item)
    {
        return item.slots.has_value() ? absl::StrCat(" with ", item.slots->value(), " slots") : std::string();
    }

    std::string describeValue(const shift_definition& item)
    {
        return absl::StrCat(" moving ", item.percent, " percent of '", item.service.value(), "' from '",
            item.from.value(), "' to '", item.to.value(), "' under ", item.capPerSecond, " requests per second");
    }

    template <typename Definition>
    void describeChanges(const definition_changes<Definition>& changes, std::vector<std::string>& sentences)
    {
        for (const auto& item : changes.added)
            sentences.push_back(absl::StrCat("adds ", describeName(item.value), describeValue(item.value)));
        for (const auto& item : changes.changed)
            sentences.push_back(absl::StrCat("changes ", describeName(item.value), describeValue(item.value)));
        for (const auto& item : changes.withdrawn)
            sentences.push_back(absl::StrCat("withdraws ", describeName(item.value)));
    }

    using location_key = std::pair<service_id, failure_domain_id>;

    void describeCapacity(const std::vector<location_capacity>& before, const std::vector<location_capacity>& after,
        std::vector<std::string>& sentences)
    {
        std::map<location_key, location_capacity> former;
        for (const location_capacity& location : before)
            former[{ location.service, location.failureDomain }] = location;
        for (const location_capacity& location : after) {
            const location_capacity& formerCapacity = former[{ location.service, location.failureDomain }];
            if (formerCapacity.slots == location.slots && formerCapacity.demand == location.demand)
                continue;
            sentences.push_back(
                absl::StrFormat("service '%s' in '%s': %.0f slots for %.1f requests at once, before %.0f for %.1f",
                    location.service.value(), location.failureDomain.value(), location.slots, location.demand,
                    formerCapacity.slots, formerCapacity.demand));
        }
    }

    /** Whether the change may move traffic at once. Shifts don't count, because they move it in steps, each after a
     * check of the measurements. */
    bool movesTraffic(const declaration& content)
    {
        return !content.shares.empty() || !content.upstreams.withdrawn.empty() || !content.services.withdrawn.empty()
            || !content.services.changed.empty() || !content.regions.changed.empty()
            || !content.regions.withdrawn.empty();
    }

    void addUnknownLoad(declaration_plan& plan)
    {
        if (std::find(plan.risks.begin(), plan.risks.end(), accepted_risk::RegionOverload) == plan.risks.end())
            plan.risks.push_back(accepted_risk::RegionOverload);
        plan.riskTexts.push_back(absl::StrCat(riskName(accepted_risk::RegionOverload),
            ": the load is not known now, so the effect of the change cannot be estimated"));
    }

    void addRisks(const std::vector<capacity_risk>& risks, declaration_plan& plan)
    {
        for (const capacity_risk& risk : risks) {
            if (std::find(plan.risks.begin(), plan.risks.end(), risk.kind) == plan.risks.end())
                plan.risks.push_back(risk.kind);
            plan.riskTexts.push_back(absl::StrCat(riskName(risk.kind), ": ", describeRisk(risk)));
        }
    }

} // namespace

declaration_plan planDeclaration(const control_snapshot& state, const declaration& content, const known_loads& measured)
{
    declaration_plan plan;
    const command_result numberCheck = checkChangeNumber(state, content);
    if (numberCheck.verdict == command_verdict::AlreadyAccepted) {
        plan.changes.push_back(numberCheck.message);
        return plan;
    }
    if (numberCheck.verdict == command_verdict::Conflict)
        plan.findings.add(
            {}, numberCheck.message, absl::StrCat("a change that replaces ", state.config.number.value()));
    forEachKind(content, content, [&](const auto& changes, const auto&) { describeChanges(changes, plan.changes); });
    const absl::StatusOr<configuration> merged = mergeDeclaration(state.config, content, plan.findings);
    if (!merged.ok())
        return plan;
    const auto before = estimateCapacity({ state, state.config, state.drains, measured.loads });
    const auto after = estimateCapacity({ state, *merged, state.drains, measured.loads });
    describeCapacity(before, after, plan.changes);
    addRisks(findNewRisks(before, after), plan);
    if (!measured.known && !state.directory.empty() && movesTraffic(content))
        addUnknownLoad(plan);
    return plan;
}

std::vector<std::string> findUnacceptedRisks(const declaration_plan& plan, const declaration& content)
{
    const auto& accepted = content.acceptedRisks;
    const bool allAccepted = std::all_of(plan.risks.begin(), plan.risks.end(),
        [&](accepted_risk risk) { return std::find(accepted.begin(), accepted.end(), risk) != accepted.end(); });
    if (allAccepted)
        return {};
    return plan.riskTexts;
}

} // namespace plantainlatch
