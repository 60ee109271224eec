#pragma once

/** \file
 * Estimates how much work each place would run and could bear under a configuration.
 */

#include <set>
#include <string>
#include <vector>

#include "model/control_message.h"
#include "model/control_snapshot.h"

namespace plantainlatch {

/** What one service would run at once in one failure domain. */
struct place_capacity {
    service_id service;
    region_id region;
    failure_domain_id failureDomain;
    /** Slots of upstreams that are not drained. */
    double slots = 0;
    /** Requests at once: rate times latency. */
    double demand = 0;
};

/** A region that would be asked for more of a service than it can bear, or a service without any slot. */
struct capacity_risk {
    accepted_risk kind = accepted_risk::RegionOverload;
    service_id service;
    region_id region;
    double slots = 0;
    double demand = 0;
};

/** The part of a region's slots that may be filled before the region counts as overloaded. */
inline constexpr double bearableRegionUse = 0.85;

/** The configuration, drains and loads that are judged; the directory is the state's. */
struct capacity_question {
    const control_snapshot& state;
    const configuration& config;
    const std::set<drain_target>& drains;
    const std::vector<service_load>& loads;
};

/** Slots and demand of each service in each declared failure domain. Demand follows the declared shares; without them
 * it stays where it was measured, and moves away from places without slots. Shifts count as finished. */
std::vector<place_capacity> estimateCapacity(const capacity_question& question);

/** Regions beyond what they can bear, and services that have demand or had slots before but none now. */
std::vector<capacity_risk> findRisks(const std::vector<place_capacity>& places);

/** The risks of `after` that `before` has not, or has to a lesser degree. */
std::vector<capacity_risk> findNewRisks(
    const std::vector<place_capacity>& before, const std::vector<place_capacity>& after);

/** One sentence with the numbers of slots and requests. */
std::string describeRisk(const capacity_risk& risk);

/** The name by which an operator accepts the risk: `region-overload` or `no-upstream`. */
const char* riskName(accepted_risk risk);

} // namespace plantainlatch
