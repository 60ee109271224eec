#pragma once

/** \file
 * Applies the beginning and end of a drain to the control state.
 */

#include <string>

#include "model/control_snapshot.h"

namespace plantainlatch {

/** Refuses a target that nobody knows; a drain that is set already is AlreadyAccepted. */
command_result applyDrain(control_snapshot& state, const set_drain& command);

/** Whether a drain target is known: a VM that started, an upstream of the directory, a declared domain or region. */
bool isKnownTarget(const control_snapshot& state, const drain_target& target);

/** `region 'fukuoka'`. */
std::string describeTarget(const drain_target& target);

/** Whether a drain of the upstream itself, its failure domain or its region is set. */
bool isUpstreamDraining(const control_snapshot& state, const upstream_announcement& upstream);

/** Whether a drain of the VM itself, its failure domain or its region is set. */
bool isVmDraining(const control_snapshot& state, const vm_record& vm);

} // namespace plantainlatch
