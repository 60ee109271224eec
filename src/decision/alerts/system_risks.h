#pragma once

/** \file
 * Finds the promises of the whole system that are at risk, as the leader sees them.
 */

#include <vector>

#include "decision/alerts/alert_book.h"
#include "model/consensus_message.h"
#include "model/control_message.h"
#include "model/control_snapshot.h"
#include "ports/membership_port.h"

namespace plantainlatch {

/** What the leader knows of the system at one moment. */
struct system_view {
    const control_snapshot& state;
    const voter_set& voters;
    const std::vector<vm_report>& reports;
    bool loadsKnown = false;
    const std::vector<service_load>& loads;
    wall_time now {};
};

/** One more lost replica would stop control. */
std::vector<risk_condition> findQuorumRisk(const system_view& view);

/** Regions that are asked for more than they can bear. */
std::vector<risk_condition> findCapacityRisks(const system_view& view);

/** A configuration that is not in force on a live VM. */
std::vector<risk_condition> findConfigurationRisk(const system_view& view);

/** Regions without a live slot allocator. */
std::vector<risk_condition> findAllocatorRisks(const system_view& view);

/** Shifts that cannot go on. */
std::vector<risk_condition> findShiftRisks(const system_view& view);

/** Services with keyed work whose outcome nobody knows. It looks at every kept key. */
std::vector<risk_condition> findOutcomeRisks(const system_view& view);

} // namespace plantainlatch
