#pragma once

/** \file
 * The execution of one request, from admission to its single answer.
 *
 * The steps are: claim the idempotency key, if the request has one and is not idempotent; pass the crash guard; attempt
 * the request on upstreams, with retries and hedges within the limits; settle the key; answer.
 */

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "decision/request/outcome_tracker.h"
#include "decision/request/request_environment.h"
#include "decision/request/upstream_attempt.h"

namespace plantainlatch {

/** The execution of one admitted request. */
class request_run : public std::enable_shared_from_this<request_run> {
public:
    using done_handler = std::function<void(const admitted_request&, caller_answer)>;

    /** `done` is called once, possibly during begin(), even if the caller has left. */
    static std::shared_ptr<request_run> create(
        request_environment& environment, admitted_request request, done_handler done);

    void begin();
    const admitted_request& request() const { return m_request; }
    /** Whether an upstream may have received the request; valid once the run has ended. */
    bool reachedUpstream() const { return m_reachedUpstream; }

    /** Ends the run when its caller has disconnected. A request that holds a claimed key and has an open attempt
     * continues, so that the caller can resend the request to get the answer. */
    void callerLeft();

private:
    request_run(request_environment& environment, admitted_request request, done_handler done);

    /** Wraps a member function into a callback that does nothing after the run has ended. */
    template <typename... Arguments>
    std::function<void(Arguments...)> whileRunning(void (request_run::*member)(Arguments...))
    {
        return [weak = weak_from_this(), member](Arguments... arguments) {
            const auto self = weak.lock();
            if (self && !self->m_finished)
                (*self.*member)(arguments...);
        };
    }

    void claim();
    void onClaim(const claim_answer& answer);
    void enterCrashGuard();
    void onCrashVerdict(crash_verdict verdict);

    void startAttempt();
    void onAttemptStarted();
    void onAttemptEnd(const std::shared_ptr<upstream_attempt>& attempt, attempt_result result);
    void onCrashReported(bool counted);
    void continueOrFinish();
    bool tryRetry(const attempt_result& result);
    /** Whether the stop of this VM would likely cut off an attempt that starts now. */
    bool mayOutlastStop() const;
    void scheduleHedge();
    void onHedgeTime();

    void onDeadline();
    void finishWithLastResult();
    /** Moves the answer out of the last result. */
    caller_answer answerForLastResult();
    caller_answer answerWithoutSlot() const;
    caller_answer answerForLostConnection() const;
    void finish(caller_answer answer);
    void abandonAttempts(abandon_cause cause);
    void recordEnd(attempt_state state);
    /** Whether the status would tell the caller that the request did not run, although it may have run. */
    bool contradictsOutcome(const caller_answer& answer) const;
    void settleKey(const caller_answer& answer);
    /** The outcome to report if no attempt returned an answer. */
    outcome outcomeWithoutAnswer() const;

    guarded_request guardedRequest() const
    {
        const service_id& service = m_request.content.service;
        return { { service, m_request.fingerprint }, { service, m_request.callerFingerprint } };
    }
    /** What the end of the request shows to the crash guard. */
    guarded_end guardedEnd() const;
    caller_answer crashingRequestAnswer() const;
    duration remaining() const { return m_request.deadline - m_environment.hooks.now(); }

    request_environment& m_environment;
    admitted_request m_request;
    done_handler m_done;
    bool m_finished = false;
    bool m_abandoning = false;
    timer_id m_deadlineTimer;
    timer_id m_hedgeTimer;
    timer_id m_crashReportTimer;
    bool m_claimsKey = false;
    /** The result of the claim is known. Until then, an earlier request may hold the key. */
    bool m_claimResolved = false;
    std::optional<held_key> m_heldKey;
    crash_guard_ticket m_crashGuardTicket;
    outcome_tracker m_outcome;
    bool m_reachedUpstream = false;
    std::size_t m_attemptCount = 0;
    /** The number of attempts that an upstream may have received. */
    std::size_t m_dispatchCount = 0;
    std::vector<std::shared_ptr<upstream_attempt>> m_openAttempts;
    std::vector<upstream_id> m_upstreamsToAvoid;
    /** The addresses to which the request was sent by attempts that have ended. */
    std::vector<network_address> m_usedAddresses;
    /** The result from which the answer is made if no further attempt follows. The result of a call is not replaced by
     * a later attempt that got no slot. */
    std::optional<attempt_result> m_lastResult;
    /** An attempt lost its connection in a way that may mean that its upstream crashed. */
    bool m_mayHaveCrashed = false;
    /** The crash was reported, so the answer waits until other entries know of it. */
    bool m_crashCounted = false;
    bool m_callerLeft = false;
};

} // namespace plantainlatch
