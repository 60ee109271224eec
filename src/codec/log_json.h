#pragma once

/** \file
 * Log lines read back from their JSON.
 */

#include <optional>
#include <string>

#include "model/log_line.h"

namespace plantainlatch {

/** One line; what stands before the first brace is passed over. None when it is no log line. */
std::optional<log_line> parseLogLine(const std::string& text);

} // namespace plantainlatch
