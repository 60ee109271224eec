#pragma once

/** \file
 * The hooks of one simulated process on a shared simulated clock; its timers no longer fire once it was killed.
 */

#include <memory>

#include "support/paused_runtime.h"

namespace plantainlatch {

/** Released when the process ends; its hooks hold weak references to it. */
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
