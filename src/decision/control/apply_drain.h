#pragma once

/** \file
 * Starts and ends drains in the control state, and tells which upstreams and VMs are draining.
 */

#include <string>

#include "model/control_snapshot.h"

namespace plantainlatch {

/** Starts or ends a drain. Returns AlreadyAccepted if the target is in that state already, Refused if the target of a
 * new drain is unknown, and Conflict if an order later than `command.after` was accepted for the target. */
command_result applyDrain(control_snapshot& state, const set_drain& command);

/** Whether the target exists: a VM that has started, a registered upstream, or a declared failure domain or region. */
bool isKnownTarget(const control_snapshot& state, const drain_target& target);

/** Formats the target for messages, such as `region 'fukuoka'`. */
std::string describeTarget(const drain_target& target);

/** Whether the upstream itself, its failure domain or its region is draining. */
bool isUpstreamDraining(const control_snapshot& state, const upstream_announcement& upstream);

/** Whether the VM itself, its failure domain or its region is draining. */
bool isVmDraining(const control_snapshot& state, const vm_record& vm);

} // namespace plantainlatch
