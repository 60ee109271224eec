#pragma once

/** \file
 * The state machine of one attempt to run a request on an upstream, and the outcome of a request none of whose attempts
 * returned an answer.
 */

#include <string_view>

#include "core/outcome.h"

namespace plantainlatch {

/** The state of one attempt to run a request on one upstream. */
enum class attempt_state {
    /** Not dispatched yet: no byte of the request was passed to the operating system. */
    Prepared,
    /** Dispatched: the first byte was passed to the operating system, so the upstream may run the request. */
    Offered,
    /** The attempt ended before dispatch. */
    NotOffered,
    /** The upstream stated in its answer that it did not run the request (see request_policies::isMarkedRefusal). */
    Refused,
    Answered,
    /** The attempt ended after dispatch without a complete answer, or with one that leaves open whether the request
     * ran.
     */
    Lost,
};

enum class attempt_event {
    Dispatch,
    FailBeforeDispatch,
    Refuse,
    Answer,
    Lose,
};

std::string_view attemptStateName(attempt_state value);

/** Returns the state after an event. A transition that is not in the table is an internal error. */
attempt_state nextState(attempt_state state, attempt_event event);

/** Whether an attempt in this state cannot have run the request, and cannot run it later. */
bool definitelyNotRun(attempt_state state);

/** Combines the final states of a request's attempts: if any upstream may have run the request, the outcome without an
 * answer is Unknown instead of NotRun. */
class outcome_tracker {
public:
    /** Records the final state of an attempt; Prepared and Offered are internal errors. */
    void recordEnd(attempt_state state);

    /** The outcome if no attempt returned an answer; valid when all attempts have ended. */
    outcome outcomeWithoutAnswer() const { return m_mayHaveRun ? outcome::Unknown : outcome::NotRun; }

private:
    bool m_mayHaveRun = false;
};

} // namespace plantainlatch
