#pragma once

/** \file
 * One request from its admission to its one answer: claim, crash guard, attempts, retries, hedges, settlement.
 */

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "decision/request/outcome_machine.h"
#include "decision/request/request_environment.h"
#include "decision/request/upstream_attempt.h"

namespace plantainlatch {

/** The run of one admitted request. */
class request_run : public std::enable_shared_from_this<request_run> {
public:
    using done_handler = std::function<void(const admitted_request&, caller_answer)>;

    /** `done` is called once, perhaps during begin(), and also when the caller has left. */
    static std::shared_ptr<request_run> create(
        request_environment& environment, admitted_request request, done_handler done);

    void begin();
    const admitted_request& request() const { return m_request; }

    /** Ends the run, unless its work is claimed and was dispatched: that goes on, so that a resend finds its answer. */
    void callerLeft();

private:
    request_run(request_environment& environment, admitted_request request, done_handler done);

    /** Makes a callback that does nothing once the run has ended. */
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
    void enterGuard();
    void onGuard(crash_verdict verdict);

    void startAttempt();
    void onAttemptStarted();
    void onAttemptEnd(const std::shared_ptr<upstream_attempt>& attempt, const attempt_end& ended);
    void onCrashReported(bool counted);
    void continueOrFinish();
    bool takeRetry(const attempt_end& ended);
    void scheduleHedge();
    void onHedgeTime();

    void onDeadline();
    void finishWithLastEnd();
    caller_answer answerToLastEnd() const;
    caller_answer answerToLost() const;
    void finish(caller_answer answer);
    void abandonAttempts(abandon_cause cause);
    void settleKey(const caller_answer& answer);
    /** What can be said when no attempt brought an answer. */
    outcome withoutAnswer() const;

    crash_key crashKey() const { return { m_request.content.service, m_request.fingerprint }; }
    duration remaining() const { return m_request.deadline - m_environment.hooks.now(); }

    request_environment& m_environment;
    admitted_request m_request;
    done_handler m_done;
    bool m_finished = false;
    bool m_abandoning = false;
    timer_id m_deadlineTimer;
    timer_id m_hedgeTimer;
    timer_id m_spreadTimer;
    bool m_claims = false;
    /** The claim's answer came; before it the key may be held by an earlier request. */
    bool m_claimResolved = false;
    std::optional<held_key> m_held;
    crash_pass m_pass;
    outcome_machine m_machine;
    std::size_t m_attemptCount = 0;
    /** Attempts that an upstream may have seen. */
    std::size_t m_offerCount = 0;
    std::vector<std::shared_ptr<upstream_attempt>> m_open;
    std::vector<upstream_id> m_avoid;
    /** The end that is answered with when no further attempt is made; a missing slot does not replace a call's end. */
    std::optional<attempt_end> m_lastEnd;
    bool m_crashCounted = false;
};

} // namespace plantainlatch
