#pragma once

/** \file
 * One attempt to run a request on one upstream: a slot, a call, and how they ended.
 */

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "decision/request/outcome_machine.h"
#include "decision/request/request_environment.h"

namespace plantainlatch {

/** How an attempt ended. */
struct attempt_end {
    enum class kind {
        /** No slot was given. */
        NoSlot,
        /** The call ended before its first byte. */
        NotOffered,
        /** The upstream refused the work in a marked refusal. */
        Refused,
        /** The upstream answered 503 without the mark. */
        Shed,
        Answered,
        /** The call ended after its first byte and without a whole answer. */
        Lost,
    };
    kind ended = kind::NoSlot;
    attempt_state state = attempt_state::NotOffered;
    /** Why there was no slot. */
    slot_refusal refusal = slot_refusal::NoUpstream;
    /** What decided against all upstreams, for NoSlot. */
    std::vector<log_field> refusalInputs;
    /** Why the call failed, for NotOffered and Lost. */
    call_failure failure = call_failure::ConnectFailed;
    /** Empty without a slot. */
    upstream_id upstream;
    /** For Refused, Shed and Answered. */
    std::optional<upstream_answer> answer;
};

/** Why an attempt is given up. */
enum class abandon_cause {
    Deadline,
    /** The caller left, or another attempt won. */
    NotWanted,
};

/** What the request is told of its attempt. */
struct attempt_events {
    /** The call was started on an upstream. */
    std::function<void()> onStarted;
    std::function<void(const attempt_end&)> onEnd;
};

/** An attempt from the wait for its slot to its end. */
class upstream_attempt : public std::enable_shared_from_this<upstream_attempt> {
public:
    /** The request and its environment must outlive the attempt's end. */
    static std::shared_ptr<upstream_attempt> create(
        request_environment& environment, const admitted_request& request, attempt_events events);

    /** Waits for a slot elsewhere than at `avoid` where it can be had, and calls. */
    void start(const std::vector<upstream_id>& avoid);

    bool hasEnded() const { return m_ended; }

    /** Ends the attempt without an event and returns its last state. */
    attempt_state abandon(abandon_cause cause);

    /** Empty before a slot was given. */
    const upstream_id& upstream() const { return m_slot.upstream.id; }

private:
    upstream_attempt(request_environment& environment, const admitted_request& request, attempt_events events);

    void onSlot(const slot_answer& answer);
    dispatch_timing chanceAt(time_point begin) const;
    /** Takes note of a call that timed out; says whether that speaks against its upstream. */
    slot_result::kind endAtDeadline() const;
    void call();
    upstream_call callFor(const held_slot& slot) const;
    void onDispatch();
    void onAnswer(upstream_answer answer);
    void onFailure(call_failure failure);
    void release(slot_result::kind kind, attempt_ending ending);
    std::optional<time_point> busyUntil(attempt_ending ending) const;
    void end(attempt_end ended);

    request_environment& m_environment;
    const admitted_request& m_request;
    attempt_events m_events;
    attempt_state m_state = attempt_state::Prepared;
    bool m_ended = false;
    std::optional<slot_ticket> m_ticket;
    held_slot m_slot;
    bool m_gotSlot = false;
    bool m_holdsSlot = false;
    /** What decided for the slot, for the log. */
    std::vector<log_field> m_inputs;
    call_id m_call;
    answer_metadata m_marks;
    time_point m_startedAt;
};

} // namespace plantainlatch
