#pragma once

/** \file
 * The service behind the operator interface: declarations, plans, drains, status and history.
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

/** Options of operator_service. */
struct operator_options {
    duration proposalTimeout = std::chrono::seconds(5);
    /** Whether to refuse changes and drains for which the remaining capacity would not suffice. */
    bool refuseRisks = true;
};

/** Serves operators on any VM; changes go through the replicated log. Published as "operators". */
class operator_service {
public:
    static absl::StatusOr<std::unique_ptr<operator_service>> create(
        const kernel_hooks& hooks, const vm_settings& settings, operator_options options = {});

    /** The kernel service; it depends on "control", "consensus" and "membership", and includes "alerts" in the status
     * if that service is present. */
    service asService();

private:
    using result_handler = std::function<void(absl::StatusOr<command_result>)>;

    operator_service(const kernel_hooks& hooks, const vm_settings& settings, operator_options options);

    absl::Status start(registry& services);
    declaration_plan plan(const declaration& content) const;
    void apply(const declaration& content, const result_handler& done);
    /** The result if the change can be answered or refused without the log; none if it is to be proposed. */
    std::optional<absl::StatusOr<command_result>> decideLocally(const declaration& content) const;
    void drain(const set_drain& order, bool force, const caller_check& senderWaits, const result_handler& done);
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
    log_term m_leaderTerm;
};

/** The configuration after the change with that number; NotFound if the history does not contain it. */
absl::StatusOr<configuration> configurationAt(const control_snapshot& state, change_number number);

} // namespace plantainlatch
