#pragma once

/** \file
 * Parses an upstream's load report.
 */

#include <string>

#include "absl/status/statusor.h"
#include "model/upstream.h"

namespace plantainlatch {

/** Parses `{"running":N,"queued":N,"draining":bool}`, where `draining` is optional and further fields are ignored;
 * InvalidArgument for anything else. */
absl::StatusOr<load_report> parseLoadReport(const std::string& text);

} // namespace plantainlatch
