#pragma once

/** \file
 * A declaration as an operator writes it.
 */

#include <string>

#include "absl/status/statusor.h"
#include "core/findings.h"
#include "model/declaration.h"

namespace plantainlatch {

/** Reads a declaration with the place of each definition; everything wrong goes to `findings`, and the status is
 * InvalidArgument then. What a declaration refers to is checked where it is merged. */
absl::StatusOr<declaration> parseDeclaration(
    const std::string& text, const std::string& fileName, finding_list& findings);

} // namespace plantainlatch
