#pragma once

/** \file
 * Applies one command of the replicated log to the control state. This is the transition function of the replicated
 * state machine.
 */

#include "decision/control/apply_directory.h"
#include "model/control_snapshot.h"

namespace plantainlatch {

/** Applies the proposal's command to `state`. The new state and the result must depend on the arguments only, so that
 * all VMs stay identical: time is `item.proposedAt`, never the local clock. */
command_result applyCommand(control_snapshot& state, const proposal& item, const directory_rules& rules = {});

} // namespace plantainlatch
