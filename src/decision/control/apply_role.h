#pragma once

/** \file
 * Applies starts and stops of VMs and assignments of slot allocators to the control state.
 */

#include "model/control_snapshot.h"

namespace plantainlatch {

/** Records the VM's location and the incarnation that it runs under. */
command_result applyVmStart(control_snapshot& state, const proposal& item, const vm_started& command);

/** Records that an incarnation stopped gracefully; Refused unless it is the VM's latest. */
command_result applyVmStop(control_snapshot& state, const vm_stopped& command);

/** Makes a VM the slot allocator of a region. Refused if the VM does not run under the given incarnation, or if the
 * epoch is not the successor of the current one, so that only one of several concurrent assignments takes effect. */
command_result applyAllocator(control_snapshot& state, const assign_allocator& command);

} // namespace plantainlatch
