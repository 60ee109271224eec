#pragma once

/** \file
 * Applies a step of a shift to the control state.
 */

#include "model/control_snapshot.h"

namespace plantainlatch {

/** Sets the shift's percentage and phase. Refused if the step does not follow the current one or exceeds the percentage
 * in the definition. */
command_result applyShiftStep(control_snapshot& state, const proposal& item, const step_shift& command);

} // namespace plantainlatch
