#include "decision/alerts/system_risks.h"

#include <algorithm>
#include <map>

#include "absl/strings/str_cat.h"
#include "decision/operators/capacity_model.h"
#include "decision/shifts/shift_step.h"

namespace plantainlatch {

namespace {

    /** With fewer replicas than this, any loss stops the control log. No alert is raised for that, since it follows
     * from the declared set of replicas. */
    constexpr std::size_t minimumReplicasForAlert = 3;

    constexpr duration quorumDelay = std::chrono::seconds(5);
    constexpr duration capacityDelay = std::chrono::seconds(10);
    /** The time limit for a configuration to be in force on every VM. */
    constexpr duration configurationDelay = std::chrono::seconds(7);
    constexpr duration allocatorDelay = std::chrono::seconds(8);
    constexpr duration shiftDelay = std::chrono::minutes(2);
    constexpr duration outcomeDelay = std::chrono::seconds(10);

    bool isLive(const std::vector<vm_report>& reports, const vm_id& vm)
    {
        return std::any_of(
            reports.begin(), reports.end(), [&](const vm_report& report) { return report.last.vm == vm; });
    }

    bool hasUnknownOutcome(const key_record& record, wall_time now)
    {
        return record.result == outcome::Unknown || (record.result == outcome::InProgress && record.runsUntil < now);
    }

} // namespace

std::vector<risk_condition> findQuorumRisk(const system_view& view)
{
    const auto& voters = view.voters.voters;
    const auto live = static_cast<std::size_t>(std::count_if(
        voters.begin(), voters.end(), [&](const replica_id& voter) { return isLive(view.reports, voter.vm); }));
    const std::size_t majority = voters.size() / 2 + 1;
    if (voters.size() < minimumReplicasForAlert || live > majority)
        return {};
    return { { "quorum", "control survives the loss of a VM",
        absl::StrCat(live, " of ", voters.size(), " replicas answer; ", majority, " are needed for a majority"),
        "traffic continues unchanged; a replica that returns, or a new one, joins automatically", quorumDelay } };
}

std::vector<risk_condition> findCapacityRisks(const system_view& view)
{
    std::vector<risk_condition> found;
    if (!view.loadsKnown)
        return found;
    const auto locations = estimateCapacity({ view.state, view.state.config, view.state.drains, view.loads });
    for (const capacity_risk& risk : findRisks(locations))
        found.push_back({ absl::StrCat("capacity:", risk.service.value(), ":", risk.region.value()),
            "no region is loaded beyond its capacity", describeRisk(risk),
            "requests without a slot go to other regions or are answered not-run", capacityDelay });
    return found;
}

std::vector<risk_condition> findConfigurationRisk(const system_view& view)
{
    std::string laggingVms;
    for (const vm_report& report : view.reports) {
        if (report.last.inForce < view.state.config.number)
            absl::StrAppend(&laggingVms, laggingVms.empty() ? "" : ", ", report.last.vm.value(), " has ",
                report.last.inForce.value());
    }
    if (laggingVms.empty())
        return {};
    return { { "configuration", "a configuration is in force everywhere within seconds",
        absl::StrCat("change ", view.state.config.number.value(), " is not in force everywhere: ", laggingVms),
        "the leader keeps sending the log, or a snapshot, to these VMs", configurationDelay } };
}

std::vector<risk_condition> findAllocatorRisks(const system_view& view)
{
    std::vector<risk_condition> found;
    for (const auto& [region, definition] : view.state.config.regions) {
        const auto allocator = view.state.allocators.find(region);
        if (allocator != view.state.allocators.end() && isLive(view.reports, allocator->second.vm))
            continue;
        found.push_back({ absl::StrCat("allocator:", region.value()), "every request reaches a working upstream",
            absl::StrCat("no live VM allocates the slots of region '", region.value(), "'"),
            "the leader assigns another VM once the last lease has ended", allocatorDelay });
    }
    return found;
}

std::vector<risk_condition> findShiftRisks(const system_view& view)
{
    std::vector<risk_condition> found;
    for (const auto& [id, record] : view.state.shifts) {
        const bool stuck = record.phase == shift_phase::Held || record.phase == shift_phase::Reverting
            || record.phase == shift_phase::Reverted;
        if (!stuck)
            continue;
        found.push_back({ absl::StrCat("shift:", id.value()), "accepted declarations take effect",
            absl::StrCat("shift '", id.value(), "' is ", phaseName(record.phase), " at ", record.percent,
                " percent after ", record.setbacks, " reverted steps"),
            "the shift resumes when the target is measured and healthy; a reverted shift waits for a new declaration",
            shiftDelay });
    }
    return found;
}

std::vector<risk_condition> findOutcomeRisks(const system_view& view)
{
    std::map<service_id, std::size_t> unknown;
    for (const auto& [name, record] : view.state.keys) {
        if (hasUnknownOutcome(record, view.now))
            ++unknown[name.service];
    }
    std::vector<risk_condition> found;
    found.reserve(unknown.size());
    for (const auto& [service, count] : unknown)
        found.push_back({ absl::StrCat("outcome:", service.value()), "the outcome of every request is known",
            absl::StrCat(count, " keyed requests of service '", service.value(), "' have an unknown outcome"),
            "they are not run again; callers that resend them get the outcome unknown", outcomeDelay });
    return found;
}

} // namespace plantainlatch
