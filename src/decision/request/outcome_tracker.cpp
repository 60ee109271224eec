#include "decision/request/outcome_tracker.h"

#include <algorithm>
#include <array>

#include "core/internal_assert.h"

namespace plantainlatch {

namespace {

    struct transition {
        attempt_state from;
        attempt_event event;
        attempt_state to;
    };

    /** All valid transitions. From Offered, only a marked refusal by the upstream itself leads to a state in which the
     * request is known not to have run. */
    constexpr std::array transitions {
        transition { attempt_state::Prepared, attempt_event::Dispatch, attempt_state::Offered },
        transition { attempt_state::Prepared, attempt_event::FailBeforeDispatch, attempt_state::NotOffered },
        transition { attempt_state::Offered, attempt_event::Refuse, attempt_state::Refused },
        transition { attempt_state::Offered, attempt_event::Answer, attempt_state::Answered },
        transition { attempt_state::Offered, attempt_event::Lose, attempt_state::Lost },
    };

} // namespace

std::string_view attemptStateName(attempt_state value)
{
    switch (value) {
    case attempt_state::Prepared:
        return "prepared";
    case attempt_state::Offered:
        return "offered";
    case attempt_state::NotOffered:
        return "not-offered";
    case attempt_state::Refused:
        return "refused";
    case attempt_state::Answered:
        return "answered";
    case attempt_state::Lost:
        return "lost";
    }
    internal_assert(false) << "invalid attempt state " << static_cast<int>(value);
    return "unknown";
}

attempt_state nextState(attempt_state state, attempt_event event)
{
    const auto* const found = std::find_if(transitions.begin(), transitions.end(),
        [&](const transition& item) { return item.from == state && item.event == event; });
    internal_assert(found != transitions.end()) << "invalid attempt transition from state " << attemptStateName(state)
                                                << " by event " << static_cast<int>(event);
    return found->to;
}

bool definitelyNotRun(attempt_state state)
{
    return state == attempt_state::NotOffered || state == attempt_state::Refused;
}

void outcome_tracker::recordEnd(attempt_state state)
{
    internal_assert(state != attempt_state::Prepared && state != attempt_state::Offered)
        << "attempt ended in the non-final state " << attemptStateName(state);
    if (!definitelyNotRun(state))
        m_mayHaveRun = true;
}

} // namespace plantainlatch
