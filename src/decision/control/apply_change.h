#pragma once

/** \file
 * Applies operators' declarations and whole configurations to the control state.
 */

#include <cstddef>

#include "model/control_snapshot.h"

namespace plantainlatch {

/** The most declarations kept in the history; older ones are merged into `historyBase`. */
inline constexpr std::size_t maximumHistory = 512;

/** Merges the declaration into the configuration if the one that it replaces is in force. Returns AlreadyAccepted if
 * the same content was accepted under this number, Conflict if other content was or the numbers do not fit, and Refused
 * with all findings if the merged configuration is invalid. */
command_result applyChange(control_snapshot& state, const proposal& item, const declaration& content);

/** Replaces the configuration if the new number is higher than the one in force, and returns AlreadyAccepted otherwise.
 * Clears the history, since the declarations in it no longer lead to the configuration in force. */
command_result applyReplacement(control_snapshot& state, const replace_configuration& command);

/** Checks the declaration's number and the number that it replaces against the configuration in force and the history.
 * Returns Accepted, AlreadyAccepted or Conflict, and leaves the content to mergeDeclaration(). */
command_result checkChangeNumber(const control_snapshot& state, const declaration& content);

} // namespace plantainlatch
