#pragma once

/** \file
 * A site in virtual time for comparisons under load: seven entries and thirty upstreams in three regions.
 */

#include "core/clock.h"
#include "model/control_snapshot.h"
#include "support/paused_runtime.h"

namespace plantainlatch::simulated_site {

using namespace std::chrono_literals;

inline constexpr std::size_t entryCount = 7;
inline constexpr std::size_t regionCount = 3;
inline constexpr std::size_t upstreamCount = 30;
inline constexpr std::uint32_t slotsPerUpstream = 3;
inline constexpr duration meanWork = 100ms;
/** The mean of the exponential factor of the work after it is clamped. */
inline constexpr double meanOfClampedFactor = 1.012;
inline constexpr duration insideRegion = 1ms;
inline constexpr duration betweenRegions = 12ms;
inline constexpr duration callerDeadline = 1s;

/** Requests a second that all slots together can run. */
inline constexpr double capacityPerSecond
    = upstreamCount * slotsPerUpstream / std::chrono::duration<double>(meanWork).count();

/** Entries and upstreams stand in the regions in turn, by their numbers. */
region_id regionOfNumber(std::size_t number);
vm_id entryName(std::size_t entry);
vm_record entryRecord(std::size_t entry);
upstream_announcement upstreamRecord(std::size_t number);
duration oneWay(const region_id& left, const region_id& right);

/** One of a region's entries, evenly. */
std::size_t entryIn(paused_runtime& runtime, std::size_t region);

/** One service, all upstreams announced, and each region's first entry its allocator. */
control_snapshot initialState();

} // namespace plantainlatch::simulated_site
