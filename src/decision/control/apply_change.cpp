#include "decision/control/apply_change.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "core/internal_assert.h"
#include "decision/control/apply_directory.h"
#include "decision/control/command_results.h"
#include "decision/declarations/configuration_difference.h"
#include "decision/declarations/declaration_difference.h"
#include "decision/declarations/declaration_merge.h"
#include "model/approximate_size.h"

namespace plantainlatch {

namespace {

    const history_record* findByNumber(const control_snapshot& state, change_number number)
    {
        for (const history_record& record : state.history) {
            if (record.content.number == number)
                return &record;
        }
        return nullptr;
    }

    command_result compareWithAccepted(const history_record& record, const declaration& content)
    {
        if (record.content == content)
            return alreadyAccepted(absl::StrCat("change ", content.number.value(), " was accepted before"));
        return conflict(absl::StrCat("change ", content.number.value(), " was accepted with other content through ",
            record.acceptedThrough.value(), ": ", absl::StrJoin(describeDifference(record.content, content), "; ")));
    }

    /** Creates shift records for added definitions and erases those of withdrawn ones. For a changed definition,
     * resets phase, baseline and setbacks, and limits the percentage to the new maximum. */
    void updateShifts(control_snapshot& state, const declaration& content, wall_time now)
    {
        for (const auto& item : content.shifts.added)
            state.shifts[item.value.id] = { 0, 0, shift_phase::Running, now, {}, 0 };
        for (const auto& item : content.shifts.changed) {
            shift_record& record = state.shifts[item.value.id];
            record
                = { record.step + 1, std::min(record.percent, item.value.percent), shift_phase::Running, now, {}, 0 };
        }
        for (const auto& item : content.shifts.withdrawn)
            state.shifts.erase(item.value.id);
    }

    void removeWithdrawnUpstreams(control_snapshot& state, const declaration& content)
    {
        for (const auto& item : content.upstreams.withdrawn)
            state.directory.erase(item.value.id);
        std::erase_if(state.directory,
            [&](const auto& entry) { return !isLocationDeclared(state.config, entry.second.announcement); });
    }

    void removeUnknownDrains(control_snapshot& state)
    {
        std::erase_if(state.drains, [&](const drain_target& target) {
            if (target.kind == drain_kind::Region)
                return !state.config.regions.contains(region_id(target.name));
            if (target.kind == drain_kind::FailureDomain)
                return regionOf(state.config, failure_domain_id(target.name)).empty();
            return false;
        });
    }

    void mergeOldestIntoBase(control_snapshot& state)
    {
        finding_list findings;
        absl::StatusOr<configuration> base
            = mergeDeclaration(state.historyBase, state.history.front().content, findings);
        internal_assert(base.ok()) << "an accepted declaration fails to merge into the history base: "
                                   << findings.format();
        state.historyBase = *std::move(base);
        state.history.erase(state.history.begin());
    }

    bool isHistoryTooLarge(const control_snapshot& state)
    {
        if (state.history.size() <= 1)
            return false;
        return state.history.size() > maximumHistory || approximateSize(state.history) > maximumHistoryBytes;
    }

    void addToHistory(control_snapshot& state, const proposal& item, const declaration& content)
    {
        state.history.push_back({ content, item.proposedAt, item.id.vm });
        while (isHistoryTooLarge(state))
            mergeOldestIntoBase(state);
    }

} // namespace

command_result checkChangeNumber(const control_snapshot& state, const declaration& content)
{
    if (const history_record* record = findByNumber(state, content.number))
        return compareWithAccepted(*record, content);
    const change_number inForce = state.config.number;
    if (content.replaces != inForce)
        return conflict(absl::StrCat("change ", content.number.value(), " replaces ", content.replaces.value(),
            ", but ", inForce.value(), " is in force"));
    if (content.number <= inForce)
        return conflict(absl::StrCat(
            "change ", content.number.value(), " is not greater than ", inForce.value(), ", which is in force"));
    return accepted();
}

command_result applyReplacement(control_snapshot& state, const replace_configuration& command)
{
    if (command.content.number <= state.config.number)
        return alreadyAccepted();
    state.config = command.content;
    state.history.clear();
    state.historyBase = {};
    return accepted();
}

command_result applyAmendment(control_snapshot& state, const amend_configuration& command)
{
    const change_number number = command.difference.other.number;
    if (number <= state.config.number)
        return alreadyAccepted();
    if (command.base != state.config.number)
        return conflict(absl::StrCat("configuration ", number.value(), " is based on ", command.base.value(), ", but ",
            state.config.number.value(), " is in force"));
    absl::StatusOr<configuration> amended = applyDifference(state.config, command.difference);
    if (!amended.ok())
        return conflict(std::string(amended.status().message()));
    return applyReplacement(state, { *std::move(amended) });
}

command_result applyChange(control_snapshot& state, const proposal& item, const declaration& content)
{
    command_result checked = checkChangeNumber(state, content);
    if (checked.verdict != command_verdict::Accepted)
        return checked;
    finding_list findings;
    absl::StatusOr<configuration> merged = mergeDeclaration(state.config, content, findings);
    if (!merged.ok())
        return refused(findings.format());
    if (state.history.empty())
        state.historyBase = std::move(state.config);
    state.config = *std::move(merged);
    updateShifts(state, content, item.proposedAt);
    removeWithdrawnUpstreams(state, content);
    removeUnknownDrains(state);
    addToHistory(state, item, content);
    return accepted();
}

} // namespace plantainlatch
