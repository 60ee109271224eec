#pragma once

/** \file
 * The log records of the request path; docs/OPERATIONS.md lists their fields.
 */

#include "decision/request/request_environment.h"
#include "decision/request/upstream_attempt.h"

namespace plantainlatch {

/** A call to an upstream begins. */
log_event attemptBegan(
    const admitted_request& request, const held_slot& slot, const std::vector<log_field>& inputs, duration left);

/** An attempt ended, with or without a call. */
log_event attemptEnded(const admitted_request& request, const attempt_end& ended, duration took);

/** The caller gets its answer. */
log_event requestAnswered(const admitted_request& request, const caller_answer& answer, duration took);

/** A request is refused before it is admitted. */
log_event requestRefused(const caller_request& request, const caller_answer& answer);

/** The caller left before its answer. */
log_event callerLeft(const std::string& name);

} // namespace plantainlatch
