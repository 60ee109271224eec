#pragma once

/** \file
 * Estimates the demand and the slots of each service in each failure domain under a configuration.
 */

#include <set>
#include <string>
#include <vector>

#include "model/control_message.h"
#include "model/control_snapshot.h"

namespace plantainlatch {

/** The slots and the demand of one service in one failure domain. */
struct location_capacity {
    service_id service;
    region_id region;
    failure_domain_id failureDomain;
    /** Slots of upstreams that are neither drained nor withdrawn. */
    double slots = 0;
    /** Concurrent requests by Little's law: request rate times latency. */
    double demand = 0;
};

/** A region that would be overloaded by the demand for a service, or a service without any slot. */
struct capacity_risk {
    accepted_risk kind = accepted_risk::RegionOverload;
    service_id service;
    region_id region;
    double slots = 0;
    double demand = 0;
};

/** A region counts as overloaded if the demand for a service exceeds this fraction of its slots for the service. */
inline constexpr double maximumRegionUtilization = 0.85;

/** The configuration, drains and loads to estimate for; the directory comes from `state`. */
struct capacity_input {
    const control_snapshot& state;
    const configuration& config;
    const std::set<drain_target>& drains;
    const std::vector<service_load>& loads;
};

/** Slots and demand of each service in each declared failure domain. Demand is distributed by the declared shares;
 * without them it stays where it was measured, except that demand in failure domains without slots moves to the others
 * of the region, or to all when the region has no slots. All shifts are assumed to be completed. */
std::vector<location_capacity> estimateCapacity(const capacity_input& input);

/** The regions in which the demand for a service exceeds `maximumRegionUtilization` of its slots. */
std::vector<capacity_risk> findRisks(const std::vector<location_capacity>& locations);

/** The region risks of `after` that are absent or less severe in `before`, and services that lose their last slot. */
std::vector<capacity_risk> findNewRisks(
    const std::vector<location_capacity>& before, const std::vector<location_capacity>& after);

/** Describes the risk in one sentence with the numbers of slots and concurrent requests. */
std::string describeRisk(const capacity_risk& risk);

/** The name by which an operator accepts the risk: `region-overload` or `no-upstream`. */
const char* riskName(accepted_risk risk);

} // namespace plantainlatch
