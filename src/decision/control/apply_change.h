#pragma once

/** \file
 * Applies an operator's declaration to the control state.
 */

#include <cstddef>

#include "model/control_snapshot.h"

namespace plantainlatch {

/** How many declarations the history keeps; older ones go into its base. */
inline constexpr std::size_t maximumHistory = 512;

/** Accepts the declaration if it replaces the configuration in force and fits it. The same content under the same
 * number is AlreadyAccepted; other content is a Conflict that says how they differ. */
command_result applyChange(control_snapshot& state, const proposal& item, const declaration& content);

/** Puts a whole configuration in force if its number is above that in force; otherwise AlreadyAccepted. */
command_result applyReplacement(control_snapshot& state, const replace_configuration& command);

/** Whether the declaration's numbers allow it to be accepted now: Accepted, AlreadyAccepted or Conflict. */
command_result checkChangeNumber(const control_snapshot& state, const declaration& content);

} // namespace plantainlatch
