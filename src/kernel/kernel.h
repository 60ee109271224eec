#pragma once

/** \file
 * The micro-kernel: starts services in the order of their dependencies and stops them in reverse order. It contains
 * nothing specific to traffic steering.
 */

#include <cstddef>
#include <memory>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "core/findings.h"
#include "kernel/hooks.h"
#include "kernel/registry.h"
#include "kernel/service.h"

namespace plantainlatch {

/** Holds the hooks, the registry and the services of one VM. */
class kernel {
public:
    /** Fails with InvalidArgument when a hook is missing. */
    static absl::StatusOr<std::unique_ptr<kernel>> create(kernel_hooks hooks);

    const kernel_hooks& hooks() const { return m_hooks; }
    registry& services() { return m_registry; }

    /** Adds a service before start(). */
    void add(service item);

    /** Starts all services. Duplicate names, missing dependencies and dependency cycles are reported together, before
     * any service starts. */
    absl::Status start();

    /** Stops all started services one after the other, in reverse order of their start, and then calls `stopped`. */
    void stop(std::function<void()> stopped);

    /** The state of all started services that have a dump hook. */
    state_dump dump() const;

private:
    explicit kernel(kernel_hooks hooks);

    void stopNext(std::function<void()> stopped);

    kernel_hooks m_hooks;
    registry m_registry;
    std::vector<service> m_services;
    std::vector<std::size_t> m_started;
};

/** The order in which the services can start, as indices into `services`; errors go to `findings`. */
std::vector<std::size_t> startOrder(const std::vector<service>& services, finding_list& findings);

} // namespace plantainlatch
