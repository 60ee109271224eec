#include "decision/request/request_run.h"

#include <algorithm>
#include <utility>

#include "core/internal_assert.h"
#include "decision/control/key_table.h"
#include "decision/request/system_answers.h"

namespace plantainlatch {

std::shared_ptr<request_run> request_run::create(
    request_environment& environment, admitted_request request, done_handler done)
{
    return std::shared_ptr<request_run>(new request_run(environment, std::move(request), std::move(done)));
}

request_run::request_run(request_environment& environment, admitted_request request, done_handler done)
    : m_environment(environment)
    , m_request(std::move(request))
    , m_done(std::move(done))
{
}

void request_run::begin()
{
    m_claimsKey = m_environment.options.policies.claimsKey(m_request.traits);
    m_deadlineTimer = m_environment.hooks.schedule(remaining(), whileRunning(&request_run::onDeadline));
    if (m_claimsKey)
        claim();
    else
        enterCrashGuard();
}

void request_run::claim()
{
    claim_key command { m_request.content.service, *m_request.content.key, m_request.fingerprint,
        m_request.keyRetention, remaining() };
    key_claims& claims = m_environment.claims;
    claims.claim(command, remaining(), [weak = weak_from_this(), &claims](const claim_answer& answer) {
        const auto self = weak.lock();
        if (self && !self->m_finished)
            self->onClaim(answer);
        else if (answer.state == claim_state::Claimed)
            claims.settle(answer.held, outcome::NotRun, std::nullopt);
    });
}

void request_run::onClaim(const claim_answer& answer)
{
    m_claimResolved = answer.state != claim_state::Unresolved;
    switch (answer.state) {
    case claim_state::Claimed:
        m_heldKey = answer.held;
        enterCrashGuard();
        return;
    case claim_state::InProgress:
        finish(systemAnswer(outcome::InProgress, answer_reason::KeyTaken));
        return;
    case claim_state::Completed:
        finish(replayedAnswer(answer.answer));
        return;
    case claim_state::Unknown:
        finish(systemAnswer(outcome::Unknown, answer_reason::KeyTaken));
        return;
    case claim_state::Reused:
        finish(systemAnswer(outcome::NotRun, answer_reason::KeyReused));
        return;
    case claim_state::TableFull:
    case claim_state::Unresolved:
        finish(systemAnswer(outcomeWithoutAnswer(), answer_reason::KeyUnavailable));
        return;
    }
}

void request_run::enterCrashGuard()
{
    m_crashGuardTicket = m_environment.crashes.newTicket();
    m_environment.crashes.enter(
        m_crashGuardTicket, guardedRequest(), m_request.deadline, whileRunning(&request_run::onCrashVerdict));
}

void request_run::onCrashVerdict(crash_verdict verdict)
{
    if (verdict == crash_verdict::Allow) {
        if (mayOutlastStop())
            finish(systemAnswer(outcomeWithoutAnswer(), answer_reason::Draining));
        else
            startAttempt();
        return;
    }
    finish(crashingRequestAnswer());
}

caller_answer request_run::crashingRequestAnswer() const
{
    caller_answer answer = systemAnswer(outcomeWithoutAnswer(), answer_reason::CrashingRequest);
    answer.retryAfter = m_environment.crashes.retryAfter(guardedRequest());
    return answer;
}

void request_run::startAttempt()
{
    internal_assert(m_request.traits.idempotent || m_outcome.outcomeWithoutAnswer() == outcome::NotRun)
        << "request " << m_request.id.value() << " is not idempotent, may have run, and would be sent again";
    ++m_attemptCount;
    attempt_events events;
    events.onStarted = whileRunning(&request_run::onAttemptStarted);
    const auto slot = std::make_shared<std::weak_ptr<upstream_attempt>>();
    events.onEnd = [weak = weak_from_this(), slot](attempt_result result) {
        const auto self = weak.lock();
        if (self && !self->m_finished)
            self->onAttemptEnd(slot->lock(), std::move(result));
    };
    const auto attempt = upstream_attempt::create(m_environment, m_request, std::move(events));
    *slot = attempt;
    m_openAttempts.push_back(attempt);
    attempt->start(m_upstreamsToAvoid, m_usedAddresses);
}

void request_run::onAttemptStarted()
{
    if (m_attemptCount == 1)
        scheduleHedge();
}

void request_run::scheduleHedge()
{
    if (!m_environment.options.policies.hedges(m_request.traits))
        return;
    const std::optional<duration> hedgeDelay = m_environment.hedges.delay(m_request.content.service);
    const duration delay = std::min(hedgeDelay.value_or(remaining() / 2), remaining() / 2);
    m_hedgeTimer = m_environment.hooks.schedule(delay, whileRunning(&request_run::onHedgeTime));
}

void request_run::onHedgeTime()
{
    if (m_openAttempts.size() != 1 || m_attemptCount != 1 || m_attemptCount >= m_environment.options.maximumAttempts)
        return;
    if (!m_environment.options.policies.allowsHedge(m_environment.hedges.hasSpareSlots(m_request.content.service)))
        return;
    if (m_environment.options.policies.limitsRetries() && !m_environment.tryAcquireRetry(m_request.content.service))
        return;
    ++m_environment.statistics.hedges;
    m_upstreamsToAvoid.push_back(m_openAttempts.front()->upstream());
    startAttempt();
}

void request_run::onAttemptEnd(const std::shared_ptr<upstream_attempt>& attempt, attempt_result result)
{
    std::erase(m_openAttempts, attempt);
    recordEnd(result.state);
    if (result.state != attempt_state::NotOffered) {
        ++m_dispatchCount;
        m_usedAddresses.push_back(result.address);
    }
    if (m_abandoning)
        return;
    const bool hasCallResult = m_lastResult && m_lastResult->ended != attempt_result::kind::Revoked;
    const bool isKept = result.ended != attempt_result::kind::NoSlot || !hasCallResult;
    const attempt_result& last = isKept ? m_lastResult.emplace(std::move(result)) : result;
    if (last.ended == attempt_result::kind::Answered) {
        finishWithLastResult();
        return;
    }
    if (!last.upstream.empty())
        m_upstreamsToAvoid.push_back(last.upstream);
    const bool crashed
        = last.ended == attempt_result::kind::Lost && m_environment.options.policies.mayBeCrash(last.failure);
    m_mayHaveCrashed = m_mayHaveCrashed || crashed;
    if (crashed)
        m_environment.crashes.report(
            guardedRequest(), { last.upstream, last.generation }, whileRunning(&request_run::onCrashReported));
    else
        continueOrFinish();
}

void request_run::onCrashReported(bool counted)
{
    m_crashCounted = m_crashCounted || counted;
    continueOrFinish();
}

void request_run::continueOrFinish()
{
    if (!m_openAttempts.empty())
        return;
    if (tryRetry(*m_lastResult)) {
        startAttempt();
        return;
    }
    if (!m_crashCounted) {
        finishWithLastResult();
        return;
    }
    const duration propagationTime = std::min(m_environment.options.crashReportPropagationTime, remaining());
    m_crashReportTimer
        = m_environment.hooks.schedule(propagationTime, whileRunning(&request_run::finishWithLastResult));
}

bool request_run::tryRetry(const attempt_result& result)
{
    const request_options& options = m_environment.options;
    if (result.ended == attempt_result::kind::NoSlot || m_attemptCount >= options.maximumAttempts)
        return false;
    if (m_request.policy.maximumAttempts != 0 && m_dispatchCount >= m_request.policy.maximumAttempts)
        return false;
    const bool hasUnusableAnswer
        = result.ended == attempt_result::kind::Lost && result.failure == call_failure::Malformed;
    const failed_attempt failed { m_request.traits, result.state, hasUnusableAnswer, remaining() };
    if (!options.policies.mayRetry(failed))
        return false;
    if (m_mayHaveCrashed && m_environment.crashes.refuses(guardedRequest()))
        return false;
    if (mayOutlastStop())
        return false;
    const bool charged = options.policies.limitsRetries() && !options.policies.isExemptFromBudget(failed);
    if (charged && !m_environment.tryAcquireRetry(m_request.content.service))
        return false;
    ++m_environment.statistics.retries;
    return true;
}

bool request_run::mayOutlastStop() const
{
    if (!m_request.stopAt || m_request.deadline < *m_request.stopAt)
        return false;
    const request_kind kind { m_request.policy.route, m_request.content.service };
    return !m_environment.options.policies.shouldStartBeforeStop({ *m_request.stopAt - m_environment.hooks.now(),
        m_request.policy.targetLatency, m_environment.durations.longest(kind) });
}

void request_run::onDeadline()
{
    const bool hasOpenAttempts = !m_openAttempts.empty();
    abandonAttempts(abandon_cause::Deadline);
    if (m_lastResult && !hasOpenAttempts)
        finishWithLastResult();
    else
        finish(systemAnswer(outcomeWithoutAnswer(), answer_reason::DeadlineExceeded));
}

void request_run::callerLeft()
{
    const bool dispatched = !m_openAttempts.empty() && m_heldKey;
    if (dispatched && m_environment.options.policies.continuesWithoutCaller(m_request.traits))
        return;
    m_callerLeft = true;
    abandonAttempts(abandon_cause::NoLongerNeeded);
    finish(systemAnswer(outcomeWithoutAnswer(), answer_reason::DeadlineExceeded));
}

void request_run::abandonAttempts(abandon_cause cause)
{
    const auto open = std::exchange(m_openAttempts, {});
    // Abandoning an attempt frees its slot. If the slot is granted to a later attempt in this list, that attempt may
    // end at once; m_abandoning then prevents a retry or an answer in onAttemptEnd().
    m_abandoning = true;
    for (const auto& attempt : open) {
        if (!attempt->hasEnded())
            recordEnd(attempt->abandon(cause));
    }
    m_abandoning = false;
}

void request_run::recordEnd(attempt_state state)
{
    m_outcome.recordEnd(state);
    m_reachedUpstream = m_reachedUpstream || state != attempt_state::NotOffered;
}

outcome request_run::outcomeWithoutAnswer() const
{
    if (m_claimsKey && !m_claimResolved)
        return m_environment.options.policies.unresolvedOutcome(m_request.traits);
    return m_outcome.outcomeWithoutAnswer();
}

void request_run::finishWithLastResult() { finish(answerForLastResult()); }

caller_answer request_run::answerForLastResult()
{
    attempt_result& result = *m_lastResult;
    switch (result.ended) {
    case attempt_result::kind::NoSlot:
        return answerWithoutSlot();
    case attempt_result::kind::NotOffered:
        return systemAnswer(outcomeWithoutAnswer(),
            result.failure == call_failure::ConnectFailed ? answer_reason::NoUpstream : answer_reason::Overloaded);
    case attempt_result::kind::Revoked:
        return systemAnswer(outcomeWithoutAnswer(), answer_reason::Overloaded);
    case attempt_result::kind::Refused:
        if (result.answer->metadata.wrongInstance)
            return systemAnswer(outcomeWithoutAnswer(), answer_reason::NoUpstream);
        return upstreamAnswer(outcomeWithoutAnswer(), *std::move(result.answer));
    case attempt_result::kind::Shed:
        return upstreamAnswer(m_request.traits.idempotent ? outcome::Completed : m_outcome.outcomeWithoutAnswer(),
            *std::move(result.answer));
    case attempt_result::kind::Answered:
        return upstreamAnswer(outcome::Completed, *std::move(result.answer));
    case attempt_result::kind::Lost:
        return answerForLostConnection();
    }
    internal_assert(false) << "invalid attempt end " << static_cast<int>(result.ended);
    return systemAnswer(outcome::Unknown, answer_reason::ConnectionLost);
}

caller_answer request_run::answerWithoutSlot() const
{
    const bool noUpstream = m_lastResult->refusal == slot_refusal::NoUpstream;
    caller_answer answer
        = systemAnswer(outcomeWithoutAnswer(), noUpstream ? answer_reason::NoUpstream : answer_reason::Overloaded);
    // A whole number of milliseconds, rounded up: a caller that returns too early is refused again.
    if (m_lastResult->retryAfter)
        answer.retryAfter = std::chrono::ceil<std::chrono::milliseconds>(*m_lastResult->retryAfter);
    return answer;
}

caller_answer request_run::answerForLostConnection() const
{
    if (m_crashCounted && m_environment.crashes.refuses(guardedRequest()))
        return crashingRequestAnswer();
    if (m_lastResult->failure == call_failure::Timeout)
        return systemAnswer(outcomeWithoutAnswer(), answer_reason::DeadlineExceeded);
    return systemAnswer(outcomeWithoutAnswer(), answer_reason::ConnectionLost);
}

void request_run::finish(caller_answer answer)
{
    internal_assert(!m_finished) << "request " << m_request.id.value() << " is answered twice";
    const auto self = shared_from_this();
    m_finished = true;
    if (contradictsOutcome(answer))
        answer = systemAnswer(outcome::Unknown, answer_reason::ConnectionLost);
    for (const timer_id timer : { m_deadlineTimer, m_hedgeTimer, m_crashReportTimer })
        m_environment.hooks.cancel(timer);
    abandonAttempts(abandon_cause::NoLongerNeeded);
    m_environment.crashes.leave(m_crashGuardTicket, guardedEnd());
    settleKey(answer);
    m_done(m_request, std::move(answer));
}

guarded_end request_run::guardedEnd() const
{
    if (m_lastResult && m_lastResult->ended == attempt_result::kind::Answered)
        return guarded_end::Completed;
    const bool isCutOff = m_callerLeft && m_reachedUpstream;
    return m_mayHaveCrashed || isCutOff ? guarded_end::Suspect : guarded_end::Unjudged;
}

bool request_run::contradictsOutcome(const caller_answer& answer) const
{
    return answer.result == outcome::Unknown && !m_request.traits.idempotent
        && m_environment.options.policies.statesNotRun(answer.content.status);
}

void request_run::settleKey(const caller_answer& answer)
{
    if (!m_heldKey)
        return;
    internal_assert(answer.result != outcome::NotRun || m_outcome.outcomeWithoutAnswer() == outcome::NotRun)
        << "request " << m_request.id.value() << " is settled as not run, but may have run";
    std::optional<upstream_answer> kept;
    if (answer.result == outcome::Completed && answerSize(answer.content) <= maximumKeptAnswer)
        kept = answer.content;
    m_environment.claims.settle(*m_heldKey, answer.result, std::move(kept));
}

} // namespace plantainlatch
