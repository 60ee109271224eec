#pragma once

/** \file
 * Parses the settings file of a VM.
 */

#include <string>

#include "absl/status/statusor.h"
#include "core/findings.h"
#include "model/vm_settings.h"

namespace plantainlatch {

/** Parses and validates settings. All errors are added to `findings`, and the status is InvalidArgument if there are
 * any. */
absl::StatusOr<vm_settings> parseSettings(const std::string& text, const std::string& fileName, finding_list& findings);

} // namespace plantainlatch
