#pragma once

/** \file
 * The hooks by which a front end hands in what operators ask for.
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

namespace plantainlatch {

/** What a declaration would change, and which promises it would put at risk. */
struct declaration_plan {
    /** One sentence a change, with numbers of slots and requests. */
    std::vector<std::string> changes;
    finding_list findings;
    std::vector<accepted_risk> risks;
    /** One sentence a risk. */
    std::vector<std::string> riskTexts;
};

/** An alert: a promise at risk, and what the system does about it. */
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
    /** Whether this VM can know that its view is current. */
    bool current = false;
    change_number inForceHere;
    /** The lowest number in force on any VM that the leader hears from; only the leader knows. */
    change_number inForceEverywhere;
    std::vector<alert> alerts;
    state_dump details;
};

/** What operators ask for; each call answers once. */
struct operator_port {
    std::function<void(declaration, std::function<void(absl::StatusOr<command_result>)>)> apply;
    std::function<declaration_plan(const declaration&)> plan;
    std::function<void(drain_target, bool draining, bool force, std::function<void(absl::StatusOr<command_result>)>)>
        drain;
    std::function<system_status()> status;
    std::function<std::vector<history_record>()> history;
    /** A new change that leads from the configuration in force back to that of an earlier number; NotFound when the
     * history no longer reaches it. */
    std::function<absl::StatusOr<declaration>(change_number earlier)> declarationBackTo;
};

} // namespace plantainlatch
