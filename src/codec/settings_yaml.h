#pragma once

/** \file
 * The settings file of one VM.
 */

#include <string>

#include "absl/status/statusor.h"
#include "core/findings.h"
#include "model/vm_settings.h"

namespace plantainlatch {

/** Reads and checks settings; everything wrong goes to `findings`, and the status is InvalidArgument then. */
absl::StatusOr<vm_settings> parseSettings(const std::string& text, const std::string& fileName, finding_list& findings);

} // namespace plantainlatch
