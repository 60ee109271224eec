#pragma once

/** \file
 * The interface through which services read the replicated control state, and the replicated log changes it.
 */

#include <functional>
#include <vector>

#include "model/command.h"
#include "model/control_snapshot.h"

namespace plantainlatch {

/** The part of the control state that an applied command may have changed. */
enum class steering_scope {
    /** Anything, also for a restored snapshot. */
    Everything,
    /** Only the records of VMs. */
    Vms,
    /** Only the records of some upstreams, which may have been added or removed. */
    Upstreams,
};

/** Tells listeners what to compare, so that their work grows with the change and not with the state. */
struct steering_change {
    steering_scope scope = steering_scope::Everything;
    /** For the scope Upstreams. */
    std::vector<upstream_id> upstreams;
};

/** This VM's copy of the control state, which reflects all entries of the log that this VM has applied. */
struct control_port {
    /** The current state; the reference is valid until the next change. */
    std::function<const control_snapshot&()> state;
    /** Adds a listener that is called after each applied command and each restored snapshot. */
    std::function<void(std::function<void()>)> onChange;
    /** Like onChange, but skips commands that affect only idempotency keys or crash records, and no-ops. */
    std::function<void(std::function<void(const steering_change&)>)> onSteeringChange;
    /** Applies a committed proposal; called only by the log. The result depends on the state and the proposal only. */
    std::function<command_result(const proposal&)> apply;
    /** Replaces the state by a snapshot; called only by the log. */
    std::function<void(control_snapshot)> restore;
};

} // namespace plantainlatch
