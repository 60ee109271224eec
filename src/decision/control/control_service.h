#pragma once

/** \file
 * The service that holds the replicated control state and applies the log's commands to it.
 */

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "absl/status/statusor.h"
#include "decision/control/apply_directory.h"
#include "kernel/hooks.h"
#include "kernel/service.h"
#include "model/vm_settings.h"
#include "ports/control_port.h"

namespace plantainlatch {

/** Options of control_service. All VMs of a system must use the same options, since they affect the results of
 * commands. */
struct control_options {
    /** Returns the cached result for a resent proposal. If false, each copy is applied again. */
    bool deduplicateProposals = true;
    directory_rules directory;
    /** Reads the admission from the document of a configuration that was stored without it. Must not be empty if
     * configurations have documents that an earlier version stored. */
    std::function<caller_admission(const std::string& document)> readAdmission;
};

/** Holds this VM's copy of the control state and applies committed proposals to it; published as "control". */
class control_service {
public:
    static absl::StatusOr<std::unique_ptr<control_service>> create(
        const kernel_hooks& hooks, const vm_settings& settings, control_options options = {});

    /** The kernel service; it depends on no other service. */
    service asService();

private:
    explicit control_service(control_options options);

    command_result apply(const proposal& item);
    void restore(control_snapshot state);
    void completeAdmission();
    /** `change` is empty if the command does not concern steering. */
    void notifyListeners(const std::optional<steering_change>& change) const;
    state_dump dump() const;

    control_options m_options;
    control_snapshot m_state;
    std::vector<std::function<void()>> m_listeners;
    std::vector<std::function<void(const steering_change&)>> m_steeringListeners;
    control_port m_port;
};

} // namespace plantainlatch
