#pragma once

/** \file
 * What upstreams and operators send as JSON.
 */

#include <string>

#include "absl/status/statusor.h"
#include "core/findings.h"
#include "model/command.h"
#include "model/upstream.h"

namespace plantainlatch {

/** A drain as an operator asks for it. */
struct drain_order {
    drain_target target;
    bool draining = false;
    /** Drains also where that puts a promise at risk. */
    bool force = false;
};

/** Reads an announcement; everything wrong with it goes to `findings`, and the status is InvalidArgument then. */
absl::StatusOr<upstream_announcement> parseAnnouncementJson(const std::string& text, finding_list& findings);

/** Reads a drain; everything wrong with it goes to `findings`, and the status is InvalidArgument then. */
absl::StatusOr<drain_order> parseDrainJson(const std::string& text, finding_list& findings);

} // namespace plantainlatch
