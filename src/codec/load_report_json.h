#pragma once

/** \file
 * An upstream's load report as JSON.
 */

#include <string>

#include "absl/status/statusor.h"
#include "model/upstream.h"

namespace plantainlatch {

/** Reads `{"running":N,"queued":N,"draining":bool}`; `draining` may be left out. InvalidArgument for anything else. */
absl::StatusOr<load_report> parseLoadReport(const std::string& text);

} // namespace plantainlatch
