#pragma once

/** \file
 * Applies traffic shares and shifts on every VM, and controls the steps and rate caps of shifts on the leader.
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

/** Options of shift_service. */
struct shift_options {
    shift_cap_options cap;
    shift_gate_options gate;
    /** The length of the window of measurements that the gate evaluates. */
    duration measurementSpan = std::chrono::seconds(3);
    duration tickInterval = std::chrono::milliseconds(500);
    duration proposalTimeout = std::chrono::seconds(2);
};

/** Traffic shares and shifts; published as "shifts". The rate cap of a shift is enforced by quotas that the leader
 * leases to the VMs with its answers to their heartbeats. Requests admitted by all VMs together never exceed the cap
 * within any window, also across a change of leader. */
class shift_service {
public:
    static absl::StatusOr<std::unique_ptr<shift_service>> create(
        const kernel_hooks& hooks, const vm_settings& settings, shift_options options = {});

    /** The kernel service; it depends on "control", "consensus" and "membership". */
    service asService();

private:
    shift_service(const kernel_hooks& hooks, shift_options options);

    absl::Status start(registry& services);
    void tick();
    void propose(const step_shift& step);
    shift_controller& controller();
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
    shift_limiters m_limiters;
    change_number m_configurationNumber;
    std::optional<shift_controller> m_controller;
    log_term m_controllerTerm;
    std::set<shift_id> m_pendingSteps;
};

} // namespace plantainlatch
