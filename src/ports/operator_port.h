#pragma once

/** \file
 * The interface through which a front end serves operators.
 */

#include <functional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core/findings.h"
#include "kernel/state_dump.h"
#include "model/command.h"
#include "model/control_snapshot.h"
#include "model/declaration.h"
#include "ports/caller_check.h"

namespace plantainlatch {

/** What a declaration would change, and the risks that it would cause. */
struct declaration_plan {
    /** One sentence for each change, with the numbers of slots and concurrent requests. */
    std::vector<std::string> changes;
    finding_list findings;
    std::vector<accepted_risk> risks;
    /** One sentence for each risk. */
    std::vector<std::string> riskTexts;
};

/** A guarantee of the system (its `promise`) that is at risk, and how the system reacts. */
struct alert {
    std::string id;
    std::string promise;
    std::string what;
    std::string action;
    wall_time since {};
};

/** The state of the whole system as this VM knows it. */
struct system_status {
    vm_id answeredBy;
    vm_id leader;
    /** Whether this VM has leader contact, so that its state is current. */
    bool current = false;
    change_number inForceHere;
    /** The lowest number in force on any VM that sends heartbeats to the leader; other VMs have it from the leader's
     * last answer. */
    change_number inForceEverywhere;
    std::vector<alert> alerts;
    state_dump details;
};

/** The operations for operators; each callback is called once. */
struct operator_port {
    std::function<void(declaration, std::function<void(absl::StatusOr<command_result>)>)> apply;
    std::function<declaration_plan(const declaration&)> plan;
    /** Starts or ends a drain; Unavailable if nothing changed because the sender is gone or a later order was accepted.
     */
    std::function<void(
        drain_target, bool draining, bool force, caller_check, std::function<void(absl::StatusOr<command_result>)>)>
        drain;
    std::function<system_status()> status;
    std::function<std::vector<history_record>()> history;
    /** A new declaration that reverts the configuration in force to that of an earlier number; NotFound when the
     * history does not hold that number. */
    std::function<absl::StatusOr<declaration>(change_number earlier)> declarationBackTo;
};

} // namespace plantainlatch
