#pragma once

/** \file
 * Merges a declaration into a configuration.
 */

#include <cstddef>

#include "absl/status/statusor.h"
#include "core/findings.h"
#include "model/configuration.h"

namespace plantainlatch {

/** How many withdrawn upstreams a configuration names; a declaration that would exceed it is refused. */
inline constexpr std::size_t maximumWithdrawnUpstreams = 4096;

/** The configuration after the declaration, or InvalidArgument with everything that is wrong in `findings`: additions
 * of what exists, changes and withdrawals of what does not, unknown names, limits that make no sense, and withdrawals
 * of what is still used. The numbers are not judged here. */
absl::StatusOr<configuration> mergeDeclaration(
    const configuration& config, const declaration& content, finding_list& findings);

} // namespace plantainlatch
