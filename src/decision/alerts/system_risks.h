#pragma once

/** \file
 * Finds the risks of the whole system from the state that the leader has.
 */

#include <vector>

#include "decision/alerts/alert_tracker.h"
#include "model/consensus_message.h"
#include "model/control_message.h"
#include "model/control_snapshot.h"
#include "ports/membership_port.h"

namespace plantainlatch {

/** The leader's state of the system at one moment. */
struct system_view {
    const control_snapshot& state;
    const voter_set& voters;
    const std::vector<vm_report>& reports;
    bool loadsKnown = false;
    const std::vector<service_load>& loads;
    wall_time now {};
};

/** A risk if the loss of one more replica would stop the control log. */
std::vector<risk_condition> findQuorumRisk(const system_view& view);

/** Regions that are overloaded (see capacity_model.h); none while the loads are not known. */
std::vector<risk_condition> findCapacityRisks(const system_view& view);

/** A risk if the newest configuration is not in force on every live VM. */
std::vector<risk_condition> findConfigurationRisk(const system_view& view);

/** Regions without a live slot allocator. */
std::vector<risk_condition> findAllocatorRisks(const system_view& view);

/** Shifts that are held, are being reverted or were reverted. */
std::vector<risk_condition> findShiftRisks(const system_view& view);

/** Services with idempotency keys whose outcome is unknown. Visits every key in the state. */
std::vector<risk_condition> findOutcomeRisks(const system_view& view);

} // namespace plantainlatch
