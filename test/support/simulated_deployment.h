#pragma once

/** \file
 * The simulated deployment of the comparison benchmark: seven entries and thirty upstreams in three regions.
 */

#include "core/clock.h"
#include "model/control_snapshot.h"
#include "support/paused_runtime.h"

namespace plantainlatch::simulated_deployment {

using namespace std::chrono_literals;

inline constexpr std::size_t entryCount = 7;
inline constexpr std::size_t regionCount = 3;
inline constexpr std::size_t upstreamCount = 30;
inline constexpr std::uint32_t slotsPerUpstream = 3;
inline constexpr duration meanServiceTime = 100ms;
/** The mean of the exponentially distributed factor of the service time after it is clamped to [0.2, 5]. */
inline constexpr double meanOfClampedFactor = 1.012;
/** One-way network delays. */
inline constexpr duration delayInRegion = 1ms;
inline constexpr duration delayBetweenRegions = 12ms;
inline constexpr duration callerDeadline = 1s;

/** The requests per second that all slots together can run. */
inline constexpr double capacityPerSecond
    = upstreamCount * slotsPerUpstream / std::chrono::duration<double>(meanServiceTime).count();

/** Entries and upstreams are assigned to the regions round-robin by their numbers. */
region_id regionOfNumber(std::size_t number);
vm_id entryName(std::size_t entry);
vm_record entryRecord(std::size_t entry);
upstream_announcement announcementOf(std::size_t number);
duration oneWay(const region_id& left, const region_id& right);

/** A random entry of a region, uniformly distributed. */
std::size_t randomEntryIn(paused_runtime& runtime, std::size_t region);

/** One service, all upstreams announced, and the first entry of each region as its allocator. */
control_snapshot initialState();

} // namespace plantainlatch::simulated_deployment
