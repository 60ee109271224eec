#pragma once

/** \file
 * Writes log events as JSON, one object per line, to a standard stream. Logging never blocks, and the rate of each kind
 * of line is limited.
 */

#include <functional>
#include <memory>
#include <string>

#include "kernel/hooks.h"
#include "services/log_statistics.h"

namespace plantainlatch {

/** The standard stream that lines are written to. */
enum class log_stream { Output, Error };

/** Creates a log hook that writes events of at least `lowestLevel` (`debug`, `info`, `warning`, `error`) with the name
 * of the VM. Events of all levels are counted in `statistics`. */
std::function<void(const log_event&)> jsonLog(const std::string& vmName, const std::string& lowestLevel,
    log_stream to = log_stream::Output,
    std::shared_ptr<log_statistics> statistics = std::make_shared<log_statistics>());

} // namespace plantainlatch
