#pragma once

/** \file
 * The state machine of one attempt, and what the attempts of a request together let the system say of it.
 */

#include <string_view>

#include "core/outcome.h"

namespace plantainlatch {

/** Where one attempt to run a request on one upstream stands. */
enum class attempt_state {
    /** No byte was offered to the operating system. */
    Prepared,
    /** The first byte was offered: the work may run. */
    Offered,
    /** Ended before the first byte. */
    NotOffered,
    /** The upstream said in a marked refusal that it did not run the work. */
    Refused,
    Answered,
    /** Ended after the first byte without a whole answer, or with one that does not tell whether the work ran. */
    Lost,
};

/** What happens to an attempt. */
enum class attempt_event {
    OfferFirstByte,
    FailBeforeFirstByte,
    Refuse,
    Answer,
    Lose,
};

std::string_view attemptStateName(attempt_state value);

/** The state after an event; an event that the transition table does not have is an internal error. */
attempt_state nextState(attempt_state state, attempt_event event);

/** Whether the work of an attempt in this state surely did not run and will not. */
bool surelyNotRun(attempt_state state);

/** Folds the ends of a request's attempts: NotRun cannot be said once one of them may have run. */
class outcome_machine {
public:
    /** Counts an attempt that has ended; one that is Prepared or Offered is an internal error. */
    void close(attempt_state state);

    /** What can be said without an answer, when no attempt is open. */
    outcome withoutAnswer() const { return m_mayHaveRun ? outcome::Unknown : outcome::NotRun; }

private:
    bool m_mayHaveRun = false;
};

} // namespace plantainlatch
