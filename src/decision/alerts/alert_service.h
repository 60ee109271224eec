#pragma once

/** \file
 * The service that alerts operators when a guarantee of the system is at risk.
 */

#include <memory>
#include <vector>

#include "absl/status/statusor.h"
#include "decision/alerts/alert_tracker.h"
#include "decision/operators/load_view.h"
#include "kernel/hooks.h"
#include "kernel/service.h"
#include "model/vm_settings.h"
#include "ports/alert_port.h"
#include "ports/consensus_port.h"
#include "ports/control_port.h"
#include "ports/membership_port.h"

namespace plantainlatch {

/** Options of alert_service. */
struct alert_options {
    alert_filter filter = alert_filter::Leaky;
    duration tickInterval = std::chrono::milliseconds(500);
    /** The interval at which all idempotency keys are searched for unknown outcomes; longer than a tick, since the
     * search visits every key. */
    duration outcomeInterval = std::chrono::seconds(5);
};

/** Checks for risks at each tick. An alert that is raised or resolved is logged once, at level error or info; active
 * alerts are part of the status. The leader checks the whole system; every VM alerts on its own loss of leader contact.
 * Published as "alerts". */
class alert_service {
public:
    static absl::StatusOr<std::unique_ptr<alert_service>> create(
        const kernel_hooks& hooks, const vm_settings& settings, alert_options options = {});

    /** The kernel service; it depends on "control", "consensus" and "membership". */
    service asService();

private:
    alert_service(const kernel_hooks& hooks, const vm_settings& settings, alert_options options);

    absl::Status start(registry& services);
    void tick();
    std::vector<risk_condition> findRisks();
    std::vector<risk_condition> findSystemRisks();
    std::vector<risk_condition> findOwnRisks() const;
    void log(log_level level, const char* what, const alert& item) const;
    state_dump dump() const;

    kernel_hooks m_hooks;
    vm_id m_self;
    alert_options m_options;
    alert_port m_port;
    control_port* m_control = nullptr;
    consensus_port* m_consensus = nullptr;
    membership_port* m_membership = nullptr;
    timer_id m_timer;
    load_view m_loads;
    alert_tracker m_tracker;
    time_point m_outcomesFoundAt {};
    std::vector<risk_condition> m_outcomeRisks;
};

} // namespace plantainlatch
