#pragma once

/** \file
 * Validates a merged configuration: references between definitions and ranges of values.
 */

#include "core/findings.h"
#include "model/configuration.h"

namespace plantainlatch {

/** Reports references to undefined names and invalid values in `merged`. Each finding has the position in `content`
 * that caused it, as far as that can be determined. */
void checkConfiguration(const configuration& merged, const declaration& content, finding_list& findings);

} // namespace plantainlatch
