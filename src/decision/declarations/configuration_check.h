#pragma once

/** \file
 * Checks that the definitions of a configuration fit each other.
 */

#include "core/findings.h"
#include "model/configuration.h"

namespace plantainlatch {

/** Reports names that nothing defines and values that make no sense, at the places of the declaration that brought
 * them about. */
void checkConfiguration(const configuration& merged, const declaration& content, finding_list& findings);

} // namespace plantainlatch
