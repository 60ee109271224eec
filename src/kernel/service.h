#pragma once

/** \file
 * The description by which the kernel manages a service.
 */

#include <functional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "kernel/registry.h"
#include "kernel/state_dump.h"

namespace plantainlatch {

/** A service's name, its dependencies, and hooks for its life cycle. */
struct service {
    std::string name;
    /** Names of the services that start before this one and stop after it. */
    std::vector<std::string> dependencies;
    /** Looks up the interfaces that it depends on, publishes its own and begins work. */
    std::function<absl::Status(registry&)> start;
    /** Ends all work gracefully and then calls `stopped` once; may be empty. */
    std::function<void(std::function<void()> stopped)> stop;
    /** Returns the service's state for inspection; may be empty. */
    std::function<state_dump()> dump;
};

} // namespace plantainlatch
