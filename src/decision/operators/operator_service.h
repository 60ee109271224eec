#pragma once

/** \file
 * The service that answers operators: declarations, plans, drains, status and history.
 */

#include <functional>
#include <memory>

#include "absl/status/statusor.h"
#include "decision/operators/load_view.h"
#include "kernel/hooks.h"
#include "kernel/service.h"
#include "model/vm_settings.h"
#include "ports/consensus_port.h"
#include "ports/control_port.h"
#include "ports/membership_port.h"
#include "ports/operator_port.h"

namespace plantainlatch {

/** What may be varied in operator_service. */
struct operator_options {
    duration proposalTimeout = std::chrono::seconds(5);
    /** Refuses changes and drains that the rest could not bear. */
    bool refuseRisks = true;
};

/** What operators ask for, on any VM; published as "operators". */
class operator_service {
public:
    static absl::StatusOr<std::unique_ptr<operator_service>> create(
        const kernel_hooks& hooks, const vm_settings& settings, operator_options options = {});

    /** The kernel service; it needs "control", "consensus" and "membership", and shows "alerts" when there. */
    service asService();

private:
    using answer = std::function<void(absl::StatusOr<command_result>)>;

    operator_service(const kernel_hooks& hooks, const vm_settings& settings, operator_options options);

    absl::Status start(registry& services);
    declaration_plan plan(const declaration& content) const;
    void apply(const declaration& content, const answer& done);
    /** Why the change is refused here, or an answer that needs no log; none when it may be proposed. */
    std::optional<absl::StatusOr<command_result>> judge(const declaration& content) const;
    void drain(const drain_target& target, bool draining, bool force, const answer& done);
    absl::StatusOr<declaration> declarationBackTo(change_number earlier) const;
    system_status status() const;
    void addDetails(state_dump& details) const;
    void addDrains(state_dump& details) const;
    void addCapacity(state_dump& details) const;
    void answerHeartbeat(const vm_heartbeat& heartbeat, heartbeat_answer& reply);
    change_number findLowestInForce() const;

    kernel_hooks m_hooks;
    vm_id m_self;
    operator_options m_options;
    operator_port m_port;
    registry* m_services = nullptr;
    control_port* m_control = nullptr;
    consensus_port* m_consensus = nullptr;
    membership_port* m_membership = nullptr;
    load_view m_loads;
    log_term m_ledTerm;
};

/** The configuration after the change of that number; NotFound when the history does not hold it. */
absl::StatusOr<configuration> configurationAt(const control_snapshot& state, change_number number);

} // namespace plantainlatch
