#pragma once

/** \file
 * The service that holds the replicated control state and applies the log's commands to it.
 */

#include <functional>
#include <memory>
#include <vector>

#include "absl/status/statusor.h"
#include "decision/control/apply_directory.h"
#include "kernel/hooks.h"
#include "kernel/service.h"
#include "model/vm_settings.h"
#include "ports/control_port.h"

namespace plantainlatch {

/** What may be varied in control_service. */
struct control_options {
    /** Answers resent proposals with the first result; without it each one is applied again. */
    bool answerDuplicates = true;
    directory_rules directory;
};

/** Holds the control_snapshot of this VM; published as "control". */
class control_service {
public:
    static absl::StatusOr<std::unique_ptr<control_service>> create(
        const kernel_hooks& hooks, const vm_settings& settings, control_options options = {});

    /** The kernel service; it needs nothing. */
    service asService();

private:
    explicit control_service(control_options options);

    command_result apply(const proposal& item);
    void restore(control_snapshot state);
    void tellListeners(bool steeringChanged) const;
    state_dump dump() const;

    control_options m_options;
    control_snapshot m_state;
    std::vector<std::function<void()>> m_listeners;
    std::vector<std::function<void()>> m_steeringListeners;
    control_port m_port;
};

} // namespace plantainlatch
