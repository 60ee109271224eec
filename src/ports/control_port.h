#pragma once

/** \file
 * The hooks by which services read the replicated control state, and by which the log changes it.
 */

#include <functional>

#include "model/command.h"
#include "model/control_snapshot.h"

namespace plantainlatch {

/** The control state of this VM, as far as its log is applied. */
struct control_port {
    /** The state; the reference holds until the next change. */
    std::function<const control_snapshot&()> state;
    /** Adds a listener that is called after each applied command or restored snapshot. */
    std::function<void(std::function<void()>)> onChange;
    /** Like onChange, but not after commands that change nothing but idempotency keys and crash counts. */
    std::function<void(std::function<void()>)> onSteeringChange;
    /** For the log alone: applies one proposal; the result depends on the state and the proposal only. */
    std::function<command_result(const proposal&)> apply;
    /** For the log alone: replaces the state. */
    std::function<void(control_snapshot)> restore;
};

} // namespace plantainlatch
