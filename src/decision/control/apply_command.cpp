#include "decision/control/apply_command.h"

#include "decision/control/apply_change.h"
#include "decision/control/apply_directory.h"
#include "decision/control/apply_drain.h"
#include "decision/control/apply_role.h"
#include "decision/control/apply_shift.h"
#include "decision/control/command_results.h"
#include "decision/control/crash_table.h"
#include "decision/control/key_table.h"

namespace plantainlatch {

namespace {

    struct command_applier {
        control_snapshot& state;
        const proposal& item;
        const directory_rules& rules;

        command_result operator()(const noop_command&) const { return accepted(); }
        command_result operator()(const apply_declaration& command) const
        {
            return applyChange(state, item, command.content);
        }
        command_result operator()(const set_drain& command) const { return applyDrain(state, command); }
        command_result operator()(const upstream_joined& command) const
        {
            return applyJoin(state, item, command, rules);
        }
        command_result operator()(const upstream_left& command) const { return applyLeave(state, item, command); }
        command_result operator()(const claim_key& command) const { return applyClaim(state.keys, item, command); }
        command_result operator()(const settle_key& command) const { return applySettle(state.keys, item, command); }
        command_result operator()(const report_crash& command) const
        {
            return applyCrashReport(state.crashes, item, command);
        }
        command_result operator()(const withdraw_crashes& command) const
        {
            return applyCrashWithdrawal(state.crashes, command);
        }
        command_result operator()(const begin_crash_trial& command) const
        {
            return applyCrashTrial(state.crashes, command);
        }
        command_result operator()(const discard_crash_trial& command) const
        {
            return applyDiscardedTrial(state.crashes, command);
        }
        command_result operator()(const assign_allocator& command) const { return applyAllocator(state, command); }
        command_result operator()(const step_shift& command) const { return applyShiftStep(state, item, command); }
        command_result operator()(const vm_started& command) const { return applyVmStart(state, item, command); }
        command_result operator()(const vm_stopped& command) const { return applyVmStop(state, command); }
        command_result operator()(const replace_configuration& command) const
        {
            return applyReplacement(state, command);
        }
        command_result operator()(const amend_configuration& command) const { return applyAmendment(state, command); }
    };

} // namespace

command_result applyCommand(control_snapshot& state, const proposal& item, const directory_rules& rules)
{
    return std::visit(command_applier { state, item, rules }, item.command);
}

} // namespace plantainlatch
