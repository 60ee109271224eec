#pragma once

/** \file
 * Says how declarations and configurations differ, for people and as a declaration.
 */

#include <string>
#include <vector>

#include "model/configuration.h"

namespace plantainlatch {

/** One sentence for each definition that only one of the two has, or that they hold differently; none when equal. */
std::vector<std::string> describeDifference(const declaration& acceptedOne, const declaration& offered);

/** The changes that lead from one configuration to another; its number and the replaced one are left for the caller.
 */
declaration declarationBetween(const configuration& from, const configuration& to);

} // namespace plantainlatch
