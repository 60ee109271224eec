#pragma once

/** \file
 * Log lines as JSON, one object a line, on a standard stream; they never block, and their number is bounded by kind.
 */

#include <functional>
#include <memory>
#include <string>

#include "kernel/hooks.h"
#include "services/log_statistics.h"

namespace plantainlatch {

/** The standard stream that takes the lines. */
enum class log_stream { Output, Error };

/** A log hook that writes lines of at least this level (`debug`, `info`, `warning`, `error`), each with the VM's name.
 * All events are counted in `statistics`. */
std::function<void(const log_event&)> jsonLog(const std::string& vmName, const std::string& lowestLevel,
    log_stream to = log_stream::Output,
    std::shared_ptr<log_statistics> statistics = std::make_shared<log_statistics>());

} // namespace plantainlatch
