#pragma once

/** \file
 * Makes and applies differences between whole configurations.
 */

#include <optional>

#include "absl/status/statusor.h"
#include "model/configuration_difference.h"

namespace plantainlatch {

/** The difference that turns `from` into `to`; none if it would not be smaller than `to`. */
std::optional<configuration_difference> differenceBetween(const configuration& from, const configuration& to);

/** Applies a difference; InvalidArgument if it was not made from `from`. */
absl::StatusOr<configuration> applyDifference(const configuration& from, const configuration_difference& difference);

} // namespace plantainlatch
