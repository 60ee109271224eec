#pragma once

/** \file
 * The kernel hooks of a simulated process on a shared simulated clock. The timers of a process that has ended do not
 * fire.
 */

#include <memory>

#include "support/paused_runtime.h"

namespace plantainlatch {

/** Represents a running process: its owner resets it when the process ends, and the hooks of the process hold weak
 * references to it. */
using process_lifetime = std::shared_ptr<bool>;

/** Hooks on the shared clock whose timers fire only while the process runs. */
inline kernel_hooks processHooks(paused_runtime& runtime, const process_lifetime& life)
{
    kernel_hooks hooks = runtime.hooks();
    hooks.schedule = [&runtime, alive = std::weak_ptr<bool>(life)](duration delay, std::function<void()> fire) {
        return runtime.schedule(delay, [alive, fire = std::move(fire)] {
            if (!alive.expired())
                fire();
        });
    };
    return hooks;
}

} // namespace plantainlatch
