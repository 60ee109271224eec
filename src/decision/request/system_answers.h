#pragma once

/** \file
 * The answers that the system itself makes.
 */

#include <optional>

#include "core/clock.h"
#include "model/http.h"

namespace plantainlatch {

/** When a caller should try again after a refusal that passes soon. */
inline constexpr duration shortRetryAfter = std::chrono::seconds(1);

/** An answer without content; its status and Retry-After follow from the outcome and the reason. */
caller_answer systemAnswer(outcome result, answer_reason reason);

/** The upstream's answer, untouched. */
caller_answer upstreamAnswer(outcome result, upstream_answer content);

/** The kept answer of a key, or an answer that says that it was too large to keep. */
caller_answer replayedAnswer(const std::optional<upstream_answer>& kept);

} // namespace plantainlatch
