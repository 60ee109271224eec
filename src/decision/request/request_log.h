#pragma once

/** \file
 * The structured log events of the request path. docs/OPERATIONS.md lists their fields.
 */

#include "decision/request/request_environment.h"
#include "decision/request/upstream_attempt.h"

namespace plantainlatch {

/** A call to an upstream was started; `remaining` is the time until the deadline. */
log_event attemptBegan(
    const admitted_request& request, const held_slot& slot, const std::vector<log_field>& inputs, duration remaining);

/** An attempt ended, with or without a call. */
log_event attemptEnded(const admitted_request& request, const attempt_result& result, duration took);

/** An attempt that held a slot was given up before its call ended; `dispatched` states whether its upstream may be at
 * work. */
log_event attemptAbandoned(
    const admitted_request& request, const held_slot& slot, abandon_cause cause, bool dispatched, duration took);

/** The request was answered. */
log_event requestAnswered(const admitted_request& request, const caller_answer& answer, duration took);

/** The request was refused before admission. */
log_event requestRefused(const caller_request& request, const caller_answer& answer);

/** The caller disconnected before it was answered. */
log_event callerLeft(const caller_request& request);

} // namespace plantainlatch
