#pragma once

/** \file
 * Parses the YAML of a declaration file.
 */

#include <string>

#include "absl/status/statusor.h"
#include "core/findings.h"
#include "model/declaration.h"

namespace plantainlatch {

/**
 * Parses a declaration and records the text position of each definition. All errors are added to `findings`, and the
 * status is InvalidArgument if there are any. References to existing definitions are checked later, when the
 * declaration is merged into the configuration.
 */
absl::StatusOr<declaration> parseDeclaration(
    const std::string& text, const std::string& fileName, finding_list& findings);

} // namespace plantainlatch
