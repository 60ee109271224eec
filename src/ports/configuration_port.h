#pragma once

/** \file
 * The hooks by which a front end for operators puts and reads whole configurations.
 */

#include <functional>

#include "absl/status/statusor.h"
#include "core/findings.h"
#include "model/command.h"
#include "model/configuration.h"

namespace plantainlatch {

/** Whole configurations, of which the highest number is in force, and drains. */
struct configuration_port {
    /** OK once the configuration, or a higher one, is accepted for good; InvalidArgument with all findings when it
     * can't be put in force; Unavailable or DeadlineExceeded when the log did not answer. */
    std::function<void(configuration, std::function<void(absl::Status)>)> put;
    /** The newest accepted configuration; Unavailable when this VM can't be sure which that is. */
    std::function<void(std::function<void(absl::StatusOr<configuration>)>)> read;
    /** Begins or ends a drain; OK once that is accepted for good. */
    std::function<void(set_drain, std::function<void(absl::Status)>)> drain;
};

} // namespace plantainlatch
