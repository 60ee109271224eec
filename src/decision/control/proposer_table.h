#pragma once

/** \file
 * Deduplicates proposals: caches the results of applied ones by proposal id, so that a resent proposal gets the first
 * result and is not applied twice.
 */

#include <cstddef>
#include <map>
#include <optional>

#include "model/control_snapshot.h"

namespace plantainlatch {

/** The most results cached for each VM; a resent proposal older than these is refused. */
inline constexpr std::size_t maximumResultsPerProposer = 1024;

/** The most earlier incarnations kept for each VM. */
inline constexpr std::size_t maximumFormerStarts = 16;

/** The cached result if the proposal was applied before. Refused if the proposal is older than the cached results or
 * comes from an earlier incarnation, since it may or may not have been applied. None for a new proposal. */
std::optional<command_result> findCachedResult(const control_snapshot& state, const proposal& item);

/** Caches the result of an applied proposal and evicts the oldest one beyond the maximum. */
void cacheResult(std::map<vm_id, proposer_record>& proposers, const proposal_id& id, const command_result& result);

} // namespace plantainlatch
