#include "decision/control/apply_shift.h"

#include "absl/strings/str_cat.h"
#include "decision/control/command_results.h"

namespace plantainlatch {

command_result applyShiftStep(control_snapshot& state, const proposal& item, const step_shift& command)
{
    const auto definition = state.config.shifts.find(command.shift);
    const auto record = state.shifts.find(command.shift);
    if (definition == state.config.shifts.end() || record == state.shifts.end())
        return refused(absl::StrCat("shift '", command.shift.value(), "' is not declared"));
    if (record->second.step != command.afterStep)
        return refused(absl::StrCat(
            "shift '", command.shift.value(), "' stands at step ", record->second.step, ", not ", command.afterStep));
    if (command.percent > definition->second.percent)
        return refused(
            absl::StrCat("shift '", command.shift.value(), "' moves at most ", definition->second.percent, " percent"));
    shift_record& shiftState = record->second;
    if (command.percent < shiftState.percent && command.phase != shift_phase::Reverting)
        ++shiftState.setbacks;
    if (shiftState.baseline == duration::zero())
        shiftState.baseline = command.baseline;
    shiftState.step = command.afterStep + 1;
    shiftState.percent = command.percent;
    shiftState.phase = command.phase;
    shiftState.steppedAt = item.proposedAt;
    return accepted();
}

} // namespace plantainlatch
