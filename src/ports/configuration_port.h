#pragma once

/** \file
 * The interface through which a front end replaces and reads whole configurations and sets drains.
 */

#include <functional>

#include "absl/status/statusor.h"
#include "core/findings.h"
#include "model/command.h"
#include "model/configuration.h"
#include "ports/caller_check.h"

namespace plantainlatch {

/** Whole configurations, of which the one with the highest number is in force, and drains. */
struct configuration_port {
    /** Calls back with OK once this configuration or one with a higher number is committed, with InvalidArgument and
     * all findings if it is invalid, and with Unavailable or DeadlineExceeded if the log did not answer. */
    std::function<void(configuration, std::function<void(absl::Status)>)> put;
    /** Calls back with the latest committed configuration, or with Unavailable if there is none or this VM cannot
     * confirm that its own is the latest. */
    std::function<void(std::function<void(absl::StatusOr<configuration>)>)> read;
    /** Starts or ends a drain, and calls back with OK once that is committed, FailedPrecondition if the target of a new
     * drain is unknown, and Unavailable if nothing changed because the sender is gone or a later order was accepted. */
    std::function<void(drain_target, bool draining, caller_check, std::function<void(absl::Status)>)> drain;
};

} // namespace plantainlatch
