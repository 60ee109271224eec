#pragma once

/** \file
 * Merges a declaration into a configuration.
 */

#include <cstddef>

#include "absl/status/statusor.h"
#include "core/findings.h"
#include "model/configuration.h"

namespace plantainlatch {

/** The most withdrawn upstreams in a configuration; a declaration that would exceed this is refused. */
inline constexpr std::size_t maximumWithdrawnUpstreams = 4096;

/** Returns the configuration with the declaration's changes and number. On errors, returns InvalidArgument and appends
 * all findings to `findings`: additions of existing definitions, changes and withdrawals of unknown ones, withdrawals
 * of definitions that others refer to, references to unknown names, and invalid limits. Whether the declaration
 * replaces the configuration in force is checked by checkChangeNumber(). */
absl::StatusOr<configuration> mergeDeclaration(
    const configuration& config, const declaration& content, finding_list& findings);

} // namespace plantainlatch
