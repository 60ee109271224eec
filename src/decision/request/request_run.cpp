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
    m_claims = m_environment.options.policies.claims(m_request.traits);
    m_deadlineTimer = m_environment.hooks.schedule(remaining(), whileRunning(&request_run::onDeadline));
    if (m_claims)
        claim();
    else
        enterGuard();
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
        m_held = answer.held;
        enterGuard();
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
        finish(systemAnswer(withoutAnswer(), answer_reason::KeyUnavailable));
        return;
    }
}

void request_run::enterGuard()
{
    m_pass = m_environment.crashes.newPass();
    m_environment.crashes.enter(m_pass, crashKey(), m_request.deadline, whileRunning(&request_run::onGuard));
}

void request_run::onGuard(crash_verdict verdict)
{
    if (verdict == crash_verdict::Pass) {
        startAttempt();
        return;
    }
    caller_answer answer = systemAnswer(withoutAnswer(), answer_reason::CrashingRequest);
    if (!m_environment.crashes.refuses(crashKey()))
        answer.retryAfter = shortRetryAfter;
    finish(std::move(answer));
}

void request_run::startAttempt()
{
    internal_assert(m_request.traits.idempotent || m_machine.withoutAnswer() == outcome::NotRun)
        << "request " << m_request.id.value() << " is not idempotent, may have run, and would be sent again";
    ++m_attemptCount;
    attempt_events events;
    events.onStarted = whileRunning(&request_run::onAttemptStarted);
    const auto slot = std::make_shared<std::weak_ptr<upstream_attempt>>();
    events.onEnd = [weak = weak_from_this(), slot](const attempt_end& ended) {
        const auto self = weak.lock();
        if (self && !self->m_finished)
            self->onAttemptEnd(slot->lock(), ended);
    };
    const auto attempt = upstream_attempt::create(m_environment, m_request, std::move(events));
    *slot = attempt;
    m_open.push_back(attempt);
    attempt->start(m_avoid);
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
    const std::optional<duration> slow = m_environment.hedges.delay(m_request.content.service);
    const duration delay = std::min(slow.value_or(remaining() / 2), remaining() / 2);
    m_hedgeTimer = m_environment.hooks.schedule(delay, whileRunning(&request_run::onHedgeTime));
}

void request_run::onHedgeTime()
{
    if (m_open.size() != 1 || m_attemptCount != 1 || m_attemptCount >= m_environment.options.maximumAttempts)
        return;
    if (!m_environment.options.policies.hasRoomToHedge(m_environment.hedges.hasRoom(m_request.content.service)))
        return;
    if (m_environment.options.policies.budgeted() && !m_environment.spendRetry(m_request.content.service))
        return;
    ++m_environment.statistics.hedges;
    m_avoid.push_back(m_open.front()->upstream());
    startAttempt();
}

void request_run::onAttemptEnd(const std::shared_ptr<upstream_attempt>& attempt, const attempt_end& ended)
{
    std::erase(m_open, attempt);
    m_machine.close(ended.state);
    const bool offered = ended.ended != attempt_end::kind::NoSlot && ended.ended != attempt_end::kind::NotOffered;
    if (offered)
        ++m_offerCount;
    if (m_abandoning)
        return;
    if (ended.ended != attempt_end::kind::NoSlot || !m_lastEnd)
        m_lastEnd = ended;
    if (ended.ended == attempt_end::kind::Answered) {
        finishWithLastEnd();
        return;
    }
    if (!ended.upstream.empty())
        m_avoid.push_back(ended.upstream);
    const bool crashed
        = ended.ended == attempt_end::kind::Lost && m_environment.options.policies.mayBeCrash(ended.failure);
    if (crashed)
        m_environment.crashes.report(crashKey(), ended.upstream, whileRunning(&request_run::onCrashReported));
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
    if (!m_open.empty())
        return;
    if (takeRetry(*m_lastEnd)) {
        startAttempt();
        return;
    }
    if (!m_crashCounted) {
        finishWithLastEnd();
        return;
    }
    const duration spread = std::min(m_environment.options.crashReportSpread, remaining());
    m_spreadTimer = m_environment.hooks.schedule(spread, whileRunning(&request_run::finishWithLastEnd));
}

bool request_run::takeRetry(const attempt_end& ended)
{
    const request_options& options = m_environment.options;
    if (ended.ended == attempt_end::kind::NoSlot || m_attemptCount >= options.maximumAttempts)
        return false;
    if (m_request.policy.maximumAttempts != 0 && m_offerCount >= m_request.policy.maximumAttempts)
        return false;
    const failed_attempt end { m_request.traits, ended.state, remaining() };
    if (!options.policies.mayRetry(end))
        return false;
    if (m_crashCounted && m_environment.crashes.refuses(crashKey()))
        return false;
    const bool charged = options.policies.budgeted() && !options.policies.isExemptFromBudget(end);
    if (charged && !m_environment.spendRetry(m_request.content.service))
        return false;
    ++m_environment.statistics.retries;
    return true;
}

void request_run::onDeadline()
{
    const bool trying = !m_open.empty();
    abandonAttempts(abandon_cause::Deadline);
    if (m_lastEnd && !trying)
        finishWithLastEnd();
    else
        finish(systemAnswer(withoutAnswer(), answer_reason::DeadlineExceeded));
}

void request_run::callerLeft()
{
    const bool dispatched = !m_open.empty() && m_held;
    if (dispatched && m_environment.options.policies.outlivesCaller(m_request.traits))
        return;
    abandonAttempts(abandon_cause::NotWanted);
    finish(systemAnswer(withoutAnswer(), answer_reason::DeadlineExceeded));
}

void request_run::abandonAttempts(abandon_cause cause)
{
    const auto open = std::exchange(m_open, {});
    // A slot that one attempt frees may go to another one of these and end it first.
    m_abandoning = true;
    for (const auto& attempt : open) {
        if (!attempt->hasEnded())
            m_machine.close(attempt->abandon(cause));
    }
    m_abandoning = false;
}

outcome request_run::withoutAnswer() const
{
    if (m_claims && !m_claimResolved)
        return m_environment.options.policies.unresolvedOutcome(m_request.traits);
    return m_machine.withoutAnswer();
}

void request_run::finishWithLastEnd() { finish(answerToLastEnd()); }

caller_answer request_run::answerToLastEnd() const
{
    const attempt_end& ended = *m_lastEnd;
    switch (ended.ended) {
    case attempt_end::kind::NoSlot:
        return systemAnswer(withoutAnswer(),
            ended.refusal == slot_refusal::NoUpstream ? answer_reason::NoUpstream : answer_reason::Overloaded);
    case attempt_end::kind::NotOffered:
        return systemAnswer(withoutAnswer(),
            ended.failure == call_failure::ConnectFailed ? answer_reason::NoUpstream : answer_reason::Overloaded);
    case attempt_end::kind::Refused:
        if (ended.answer->metadata.wrongInstance)
            return systemAnswer(withoutAnswer(), answer_reason::NoUpstream);
        return upstreamAnswer(withoutAnswer(), *ended.answer);
    case attempt_end::kind::Shed:
        return upstreamAnswer(
            m_request.traits.idempotent ? outcome::Completed : m_machine.withoutAnswer(), *ended.answer);
    case attempt_end::kind::Answered:
        return upstreamAnswer(outcome::Completed, *ended.answer);
    case attempt_end::kind::Lost:
        return answerToLost();
    }
    internal_assert(false) << "attempt end " << static_cast<int>(ended.ended);
    return systemAnswer(outcome::Unknown, answer_reason::ConnectionLost);
}

caller_answer request_run::answerToLost() const
{
    if (m_crashCounted && m_environment.crashes.refuses(crashKey()))
        return systemAnswer(withoutAnswer(), answer_reason::CrashingRequest);
    if (m_lastEnd->failure == call_failure::Timeout)
        return systemAnswer(withoutAnswer(), answer_reason::DeadlineExceeded);
    return systemAnswer(withoutAnswer(), answer_reason::ConnectionLost);
}

void request_run::finish(caller_answer answer)
{
    internal_assert(!m_finished) << "request " << m_request.id.value() << " is answered twice";
    const auto self = shared_from_this();
    m_finished = true;
    for (const timer_id timer : { m_deadlineTimer, m_hedgeTimer, m_spreadTimer })
        m_environment.hooks.cancel(timer);
    abandonAttempts(abandon_cause::NotWanted);
    m_environment.crashes.leave(m_pass, m_lastEnd && m_lastEnd->ended == attempt_end::kind::Answered);
    settleKey(answer);
    m_done(m_request, std::move(answer));
}

void request_run::settleKey(const caller_answer& answer)
{
    if (!m_held)
        return;
    internal_assert(answer.result != outcome::NotRun || m_machine.withoutAnswer() == outcome::NotRun)
        << "request " << m_request.id.value() << " is settled as not run, but may have run";
    std::optional<upstream_answer> kept;
    if (answer.result == outcome::Completed && answerSize(answer.content) <= maximumKeptAnswer)
        kept = answer.content;
    m_environment.claims.settle(*m_held, answer.result, std::move(kept));
}

} // namespace plantainlatch
