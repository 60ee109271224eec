#pragma once

/** \file
 * The service of shares and shifts: every VM follows them, and the leader drives them under their caps.
 */

#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "absl/status/statusor.h"
#include "decision/shifts/shift_controller.h"
#include "decision/shifts/shift_limiters.h"
#include "kernel/hooks.h"
#include "kernel/service.h"
#include "model/vm_settings.h"
#include "ports/consensus_port.h"
#include "ports/control_port.h"
#include "ports/measurement_port.h"
#include "ports/membership_port.h"
#include "ports/shift_port.h"

namespace plantainlatch {

/** What may be varied in shift_service. */
struct shift_options {
    shift_cap_options cap;
    shift_gate_options gate;
    /** The gate judges the measurements of this last time. */
    duration measurementSpan = std::chrono::seconds(3);
    duration tickInterval = std::chrono::milliseconds(500);
    duration proposalTimeout = std::chrono::seconds(2);
};

/** Shares and shifts; published as "shifts". The cap is spent by allowances that the leader leases with its answers to
 * heartbeats: the sum over all VMs never exceeds the cap within any window, also over a change of leader. */
class shift_service {
public:
    static absl::StatusOr<std::unique_ptr<shift_service>> create(
        const kernel_hooks& hooks, const vm_settings& settings, shift_options options = {});

    /** The kernel service; it needs "control", "consensus" and "membership". */
    service asService();

private:
    shift_service(const kernel_hooks& hooks, shift_options options);

    absl::Status start(registry& services);
    void tick();
    void propose(const step_shift& step);
    shift_controller& led();
    std::vector<domain_weight> weights(const service_id& service) const;
    std::vector<active_shift> shifts(const service_id& service) const;
    state_dump dump() const;

    kernel_hooks m_hooks;
    shift_options m_options;
    shift_port m_port;
    control_port* m_control = nullptr;
    consensus_port* m_consensus = nullptr;
    membership_port* m_membership = nullptr;
    timer_id m_timer;
    shift_limiters m_spending;
    change_number m_followed;
    std::optional<shift_controller> m_leader;
    log_term m_leaderTerm;
    std::set<shift_id> m_stepping;
};

} // namespace plantainlatch
