#pragma once

/** \file
 * Encodes results of requests of upstreams and operators as HTTP answers.
 */

#include <string>

#include "absl/status/status.h"
#include "core/findings.h"
#include "model/command.h"
#include "services/http_answer.h"

namespace plantainlatch {

/** Encodes a failure as JSON: InvalidArgument is 400, PermissionDenied 403, NotFound 404, DeadlineExceeded 504,
 * Unavailable 503 with Retry-After, everything else 500. */
http_answer encodeStatus(const absl::Status& status);

/** Encodes findings as JSON, with status 400. */
http_answer encodeFindings(const std::string& message, const finding_list& findings);

/** Encodes the result of a command as JSON: accepted is 200, a conflict 409, a refusal 422. */
http_answer encodeCommandResult(const command_result& result);

} // namespace plantainlatch
