#pragma once

/** \file
 * Applies one command of the replicated log to the control state.
 */

#include "decision/control/apply_directory.h"
#include "model/control_snapshot.h"

namespace plantainlatch {

/** Changes the state as the command says; the result depends on the state and the proposal only. */
command_result applyCommand(control_snapshot& state, const proposal& item, const directory_rules& rules = {});

} // namespace plantainlatch
