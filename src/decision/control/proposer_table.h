#pragma once

/** \file
 * Answers proposals that were applied before, so that a resent one changes nothing twice.
 */

#include <cstddef>
#include <map>
#include <optional>

#include "model/control_snapshot.h"

namespace plantainlatch {

/** How many results are kept for each VM; an older proposal that comes again is refused. */
inline constexpr std::size_t maximumResultsPerProposer = 1024;

/** How many earlier incarnations of a VM are remembered. */
inline constexpr std::size_t maximumFormerStarts = 16;

/** The result of this proposal if it was applied before, or a refusal if that can no longer be told; none for a new
 * one. */
std::optional<command_result> findFormerResult(const control_snapshot& state, const proposal& item);

/** Keeps the result for resent proposals; the oldest goes when there are too many. */
void rememberResult(std::map<vm_id, proposer_record>& proposers, const proposal_id& id, const command_result& result);

} // namespace plantainlatch
