#pragma once

/** \file
 * What the kernel needs to know of a service.
 */

#include <functional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "kernel/registry.h"
#include "kernel/state_dump.h"

namespace plantainlatch {

/** A service as the kernel sees it: a name, the names it needs, and hooks for each part of its life. */
struct service {
    std::string name;
    /** Services that start before this one and stop after it. */
    std::vector<std::string> dependencies;
    /** Finds what it needs, publishes its own interface and begins work. */
    std::function<absl::Status(registry&)> start;
    /** Ends all work gracefully and then calls `stopped` once; may be empty. */
    std::function<void(std::function<void()> stopped)> stop;
    /** Shows the service's state; may be empty. */
    std::function<state_dump()> dump;
};

} // namespace plantainlatch
