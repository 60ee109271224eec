#pragma once

/** \file
 * Applies a step of a shift to the control state.
 */

#include "model/control_snapshot.h"

namespace plantainlatch {

/** Moves a shift on; refuses a step that does not follow the last one, or goes beyond the definition. */
command_result applyShiftStep(control_snapshot& state, const proposal& item, const step_shift& command);

} // namespace plantainlatch
