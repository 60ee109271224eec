#pragma once

/** \file
 * Applies starts of VMs and assignments of slot allocators to the control state.
 */

#include "model/control_snapshot.h"

namespace plantainlatch {

/** Notes where a VM is and under which incarnation it runs. */
command_result applyVmStart(control_snapshot& state, const proposal& item, const vm_started& command);

/** Notes the graceful end of a start; refused for one that is not the VM's last. */
command_result applyVmStop(control_snapshot& state, const vm_stopped& command);

/** Makes a VM the allocator of a region; refuses any epoch but the next. */
command_result applyAllocator(control_snapshot& state, const assign_allocator& command);

} // namespace plantainlatch
