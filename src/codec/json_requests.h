#pragma once

/** \file
 * Parses the JSON bodies of requests from upstreams and operators.
 */

#include <string>

#include "absl/status/statusor.h"
#include "core/findings.h"
#include "model/command.h"
#include "model/upstream.h"

namespace plantainlatch {

/** An operator's request to start or end a drain. */
struct drain_request {
    drain_target target;
    bool draining = false;
    /** Whether to drain even if that puts one of the system's guarantees at risk. */
    bool force = false;
};

/** Parses an announcement. All errors are added to `findings`, and the status is InvalidArgument if there are any. */
absl::StatusOr<upstream_announcement> parseAnnouncementJson(const std::string& text, finding_list& findings);

/** Parses a drain request. All errors are added to `findings`, and the status is InvalidArgument if there are any. */
absl::StatusOr<drain_request> parseDrainJson(const std::string& text, finding_list& findings);

} // namespace plantainlatch
