#pragma once

/** \file
 * Applies operators' declarations and whole configurations to the control state.
 */

#include <cstddef>

#include "model/control_snapshot.h"

namespace plantainlatch {

/** Limits on the declarations kept in the history, by number and by approximate encoded bytes; older ones are merged
 * into `historyBase`. The last one is kept whatever its size. */
inline constexpr std::size_t maximumHistory = 512;
inline constexpr std::size_t maximumHistoryBytes = 4 * 1024 * 1024;

/** Merges the declaration into the configuration if the number that it replaces is in force. Returns the result of
 * checkChangeNumber() if that is not Accepted, and Refused with all findings if the merged configuration is invalid. */
command_result applyChange(control_snapshot& state, const proposal& item, const declaration& content);

/** Replaces the configuration if the new number is higher than the one in force, and returns AlreadyAccepted otherwise.
 * Clears the history, since the declarations in it no longer lead to the configuration in force. */
command_result applyReplacement(control_snapshot& state, const replace_configuration& command);

/** Applies a change of the whole configuration that is described by a difference. Conflict if the configuration in
 * force is another one than the difference was made from. */
command_result applyAmendment(control_snapshot& state, const amend_configuration& command);

/** Checks the declaration's number and the number that it replaces against the configuration in force and the history;
 * mergeDeclaration() checks the content. Returns Accepted or one of:
 * - AlreadyAccepted: a declaration with this number and the same content was accepted;
 * - Conflict: one with this number and other content was accepted, the replaced number is not in force, or this number
 * is not higher than the one in force. */
command_result checkChangeNumber(const control_snapshot& state, const declaration& content);

} // namespace plantainlatch
