#pragma once

/** \file
 * The outcome of a request, which tells its caller whether an upstream ran it.
 */

#include <string_view>

namespace plantainlatch {

/** The outcome that each answer to a caller states. */
enum class outcome {
    /** No byte of the request reached an upstream, or the upstream stated in its refusal that it did not run it. */
    NotRun,
    /** The request was dispatched but no answer was received: it may or may not have run. */
    Unknown,
    /** Another request with the same idempotency key is still running. */
    InProgress,
    /** The stored answer to an earlier request with the same idempotency key. */
    Replayed,
    /** The upstream's own answer to this request. */
    Completed,
};

/** The value of the answer's outcome header: `not-run`, `unknown`, `in-progress`, `replayed`, `completed`. */
std::string_view outcomeName(outcome value);

} // namespace plantainlatch
