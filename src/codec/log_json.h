#pragma once

/** \file
 * Parses log lines in the JSON format that a VM writes.
 */

#include <optional>
#include <string>

#include "model/log_line.h"

namespace plantainlatch {

/** Parses one line, skipping a prefix before the first brace; none if the rest is not a log line. */
std::optional<log_line> parseLogLine(const std::string& text);

} // namespace plantainlatch
