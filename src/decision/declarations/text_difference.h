#pragma once

/** \file
 * Describes a text by the parts that it shares with a former one.
 */

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "model/configuration_difference.h"

namespace plantainlatch {

/** The edits that turn `from` into `to`. Both are compared in pieces that end with a closing bracket or a line break,
 * so the edits are short for texts in JSON, YAML or lines; they are correct for any texts. Takes time proportional to
 * the sizes. */
std::vector<text_edit> textDifference(std::string_view from, std::string_view to);

/** Applies edits; InvalidArgument if they copy bytes that `from` does not have. */
absl::StatusOr<std::string> applyTextDifference(std::string_view from, const std::vector<text_edit>& edits);

} // namespace plantainlatch
