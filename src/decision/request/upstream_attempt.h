#pragma once

/** \file
 * One attempt to run a request on one upstream: acquires a slot, makes the call, and releases the slot with the result.
 */

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "decision/request/outcome_tracker.h"
#include "decision/request/request_environment.h"

namespace plantainlatch {

/** How an attempt ended. */
struct attempt_result {
    enum class kind {
        /** No slot was granted. */
        NoSlot,
        /** The call ended before it was dispatched. */
        NotOffered,
        /** The slot was revoked before the call was dispatched. */
        Revoked,
        /** The upstream answered with a marked refusal. */
        Refused,
        /** The upstream answered 503, or another status that callers take as a statement that the request did not run,
         * without the mark of a refusal. */
        Shed,
        Answered,
        /** The call ended after dispatch and without a complete answer. */
        Lost,
    };
    kind ended = kind::NoSlot;
    attempt_state state = attempt_state::NotOffered;
    /** Why no slot was granted; valid only for NoSlot. */
    slot_refusal refusal = slot_refusal::NoUpstream;
    /** When a slot can be expected, if that is known; set only for NoSlot. */
    std::optional<duration> retryAfter;
    /** The inputs to the decision that no upstream was suitable, for the log; set only for NoSlot. */
    std::vector<log_field> refusalInputs;
    /** Why the call failed; valid only for NotOffered and Lost. */
    call_failure failure = call_failure::ConnectFailed;
    /** Empty if no slot was granted. */
    upstream_id upstream;
    /** The generation of the upstream; valid only if a slot was granted. */
    upstream_generation generation;
    /** The address of the upstream; valid only if a slot was granted. */
    network_address address;
    /** Set only for Refused, Shed and Answered. */
    std::optional<upstream_answer> answer;
};

/** Why an attempt is abandoned. */
enum class abandon_cause {
    Deadline,
    /** The caller left, or another attempt was answered. */
    NoLongerNeeded,
};

/** Callbacks from an attempt to its request. */
struct attempt_events {
    /** The call was started on an upstream. */
    std::function<void()> onStarted;
    std::function<void(attempt_result)> onEnd;
};

/** An attempt, from waiting for a slot to its end. */
class upstream_attempt : public std::enable_shared_from_this<upstream_attempt> {
public:
    /** `environment` and `request` must exist until the attempt has ended. */
    static std::shared_ptr<upstream_attempt> create(
        request_environment& environment, const admitted_request& request, attempt_events events);

    /** Waits for a slot and starts the call. Upstreams in `avoid`, and those in their failure domains, are used only if
     * no other one has a free slot. A call to one of `usedAddresses`, to which the request was sent before, uses a new
     * connection: on an old one, a repeated answer to the earlier call could be taken for the answer to this one. */
    void start(const std::vector<upstream_id>& avoid, std::vector<network_address> usedAddresses);

    bool hasEnded() const { return m_ended; }

    /** Ends the attempt without calling onEnd() and returns its final state. */
    attempt_state abandon(abandon_cause cause);

    /** Empty until a slot is granted. */
    const upstream_id& upstream() const { return m_slot.upstream.id; }

private:
    upstream_attempt(request_environment& environment, const admitted_request& request, attempt_events events);

    void onSlot(const slot_answer& answer);
    void onRevoked();
    dispatch_timing timingAt(time_point begin) const;
    /** Adds a timed-out call to the latency samples and returns the result with which its slot is released: Timeout if
     * it counts as a failure of the upstream, Cancelled otherwise. */
    slot_result::kind recordTimeout() const;
    void call();
    upstream_call callFor(const held_slot& slot) const;
    bool needsFreshConnection() const;
    void onDispatch();
    void onAnswer(upstream_answer answer);
    void onFailure(call_failure failure);
    void release(slot_result::kind kind, attempt_termination termination);
    std::optional<time_point> busyUntil(attempt_termination termination) const;
    void end(attempt_result result);

    request_environment& m_environment;
    const admitted_request& m_request;
    attempt_events m_events;
    attempt_state m_state = attempt_state::Prepared;
    bool m_ended = false;
    std::vector<network_address> m_usedAddresses;
    std::optional<slot_ticket> m_ticket;
    held_slot m_slot;
    bool m_gotSlot = false;
    bool m_holdsSlot = false;
    /** The inputs to the choice of the slot, for the log. */
    std::vector<log_field> m_inputs;
    call_id m_call;
    answer_metadata m_metadata;
    time_point m_startedAt;
};

} // namespace plantainlatch
