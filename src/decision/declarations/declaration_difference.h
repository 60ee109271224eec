#pragma once

/** \file
 * Differences between declarations, as messages, and between configurations, as a declaration.
 */

#include <string>
#include <vector>

#include "model/configuration.h"

namespace plantainlatch {

/** Describes how an offered declaration differs from the existing, accepted one with the same number: one clause for
 * each difference, and none if they are equal. */
std::vector<std::string> describeDifference(const declaration& existing, const declaration& offered);

/** The changes that turn `from` into `to`. The number and the replaced number are left at 0. */
declaration declarationBetween(const configuration& from, const configuration& to);

} // namespace plantainlatch
