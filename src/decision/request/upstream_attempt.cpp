#include "decision/request/upstream_attempt.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "core/internal_assert.h"
#include "decision/request/request_log.h"

namespace plantainlatch {

namespace {

    constexpr int statusUnavailable = 503;
    constexpr int firstServerError = 500;
    /** A call that timed out is added to the latency samples with this many times its duration. */
    constexpr int timeoutLatencyFactor = 2;

    bool isBeforeDispatch(call_failure failure)
    {
        return failure == call_failure::ConnectFailed || failure == call_failure::ConnectionLimit;
    }

    slot_result::kind slotResultOf(call_failure failure)
    {
        switch (failure) {
        case call_failure::ConnectFailed:
            return slot_result::kind::ConnectFailed;
        case call_failure::ConnectionLimit:
            return slot_result::kind::Unused;
        case call_failure::Timeout:
            return slot_result::kind::Timeout;
        case call_failure::Lost:
        case call_failure::Malformed:
        case call_failure::OtherAnswer:
            return slot_result::kind::Lost;
        }
        internal_assert(false) << "invalid call failure " << static_cast<int>(failure);
        return slot_result::kind::Lost;
    }

    attempt_termination terminationOf(call_failure failure)
    {
        if (isBeforeDispatch(failure))
            return attempt_termination::Finished;
        return failure == call_failure::Lost ? attempt_termination::Lost : attempt_termination::Cancelled;
    }

} // namespace

std::shared_ptr<upstream_attempt> upstream_attempt::create(
    request_environment& environment, const admitted_request& request, attempt_events events)
{
    return std::shared_ptr<upstream_attempt>(new upstream_attempt(environment, request, std::move(events)));
}

upstream_attempt::upstream_attempt(
    request_environment& environment, const admitted_request& request, attempt_events events)
    : m_environment(environment)
    , m_request(request)
    , m_events(std::move(events))
{
}

void upstream_attempt::start(const std::vector<upstream_id>& avoid, std::vector<network_address> usedAddresses)
{
    m_usedAddresses = std::move(usedAddresses);
    slot_request request { m_request.content.service, m_request.deadline, avoid,
        byte_count(m_request.content.body.size()), m_request.policy, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->onRevoked();
        } };
    slot_port& slots = m_environment.slots;
    const slot_ticket ticket
        = slots.acquire(std::move(request), [weak = weak_from_this(), &slots](const slot_answer& answer) {
              const auto self = weak.lock();
              if (self && !self->m_ended)
                  self->onSlot(answer);
              else if (answer.slot)
                  slots.release(answer.slot->handle, {});
          });
    m_environment.hedges.observeSlot(m_request.content.service, !m_gotSlot);
    if (!m_ended && !m_gotSlot)
        m_ticket = ticket;
}

void upstream_attempt::onSlot(const slot_answer& answer)
{
    m_ticket.reset();
    if (!answer.slot) {
        m_state = nextState(m_state, attempt_event::FailBeforeDispatch);
        attempt_result result;
        result.refusal = answer.refusal;
        result.retryAfter = answer.retryAfter;
        result.refusalInputs = answer.inputs;
        end(std::move(result));
        return;
    }
    m_slot = *answer.slot;
    m_inputs = answer.inputs;
    m_holdsSlot = true;
    m_gotSlot = true;
    const time_point now = m_environment.hooks.now();
    m_startedAt = now;
    if (now < m_slot.dispatchBefore && m_environment.options.policies.shouldStartCall(timingAt(now))) {
        call();
        return;
    }
    release(slot_result::kind::Unused, attempt_termination::Finished);
    m_state = nextState(m_state, attempt_event::FailBeforeDispatch);
    attempt_result result;
    result.refusal = slot_refusal::Overloaded;
    end(std::move(result));
}

void upstream_attempt::onRevoked()
{
    const bool waitsForDispatch = m_holdsSlot && m_state == attempt_state::Prepared;
    if (!waitsForDispatch)
        return;
    m_environment.upstreams.cancel(m_call);
    release(slot_result::kind::Unused, attempt_termination::Finished);
    m_state = nextState(m_state, attempt_event::FailBeforeDispatch);
    attempt_result result;
    result.ended = attempt_result::kind::Revoked;
    end(std::move(result));
}

dispatch_timing upstream_attempt::timingAt(time_point begin) const
{
    return { m_request.deadline - begin, m_request.deadline - m_request.arrivedAt,
        m_environment.hedges.p95Latency(m_request.content.service) };
}

slot_result::kind upstream_attempt::recordTimeout() const
{
    // The latency of the missing answer is at least the elapsed time. Without timed-out calls among the samples, the
    // 95th percentile would become too low.
    const duration elapsed = m_environment.hooks.now() - m_startedAt;
    if (m_environment.options.policies.recordsTimeoutLatencies())
        m_environment.hedges.observeLatency(m_request.content.service, elapsed * timeoutLatencyFactor);
    const bool countsAgainst = m_environment.options.policies.countsAgainstUpstream(timingAt(m_startedAt));
    return countsAgainst ? slot_result::kind::Timeout : slot_result::kind::Cancelled;
}

void upstream_attempt::call()
{
    m_call = m_environment.nextCall();
    call_events events;
    const auto weak = weak_from_this();
    events.onDispatch = [weak] {
        if (const auto self = weak.lock(); self && !self->m_ended)
            self->onDispatch();
    };
    events.onAnswer = [weak](upstream_answer answer) {
        if (const auto self = weak.lock(); self && !self->m_ended)
            self->onAnswer(std::move(answer));
    };
    events.onFailure = [weak](call_failure failure) {
        if (const auto self = weak.lock(); self && !self->m_ended)
            self->onFailure(failure);
    };
    m_environment.upstreams.start(callFor(m_slot), std::move(events));
    m_environment.hooks.log(attemptBegan(m_request, m_slot, m_inputs, m_request.deadline - m_environment.hooks.now()));
    if (!m_ended)
        m_events.onStarted();
}

upstream_call upstream_attempt::callFor(const held_slot& slot) const
{
    const time_point now = m_environment.hooks.now();
    upstream_call call;
    call.id = m_call;
    call.upstream = slot.upstream.id;
    call.address = slot.upstream.address;
    call.method = m_request.content.method;
    call.target = m_request.content.target;
    call.headers = m_request.content.headers;
    call.body = m_request.content.body;
    call.timeout = m_request.deadline - now;
    call.dispatchTimeout = std::min(call.timeout, slot.dispatchBefore - now);
    call.freshConnection = needsFreshConnection();
    call.connectionLimit = m_request.connectionLimit;
    call.requestName = m_request.content.name;
    call.account = m_request.content.account;
    return call;
}

bool upstream_attempt::needsFreshConnection() const
{
    const auto used = std::find(m_usedAddresses.begin(), m_usedAddresses.end(), m_slot.upstream.address);
    return used != m_usedAddresses.end() || m_environment.options.policies.needsFreshConnection(m_request.traits);
}

void upstream_attempt::onDispatch()
{
    m_state = nextState(m_state, attempt_event::Dispatch);
    if (m_environment.hooks.now() <= m_slot.dispatchBefore)
        return;
    ++m_environment.statistics.lateDispatches;
    m_environment.hooks.log({ log_level::Error, "requests", "work was dispatched after the slot's lease",
        { { "upstream", m_slot.upstream.id.value() } } });
}

void upstream_attempt::onAnswer(upstream_answer answer)
{
    attempt_result result;
    slot_result::kind kind = slot_result::kind::Answered;
    attempt_event event = attempt_event::Answer;
    if (m_environment.options.policies.isMarkedRefusal(answer)) {
        result.ended = attempt_result::kind::Refused;
        kind = slot_result::kind::Shed;
        event = attempt_event::Refuse;
    } else if (answer.status == statusUnavailable || m_environment.options.policies.statesNotRun(answer.status)) {
        result.ended = attempt_result::kind::Shed;
        kind = slot_result::kind::Shed;
        event = m_request.traits.idempotent ? attempt_event::Answer : attempt_event::Lose;
    } else {
        result.ended = attempt_result::kind::Answered;
        if (answer.status >= firstServerError)
            kind = slot_result::kind::Failed;
        else
            m_environment.hedges.observeLatency(m_request.content.service, m_environment.hooks.now() - m_startedAt);
    }
    m_state = nextState(m_state, event);
    m_metadata = answer.metadata;
    result.answer = std::move(answer);
    release(kind, attempt_termination::Finished);
    end(std::move(result));
}

void upstream_attempt::onFailure(call_failure failure)
{
    attempt_result result;
    result.failure = failure;
    const bool beforeDispatch = isBeforeDispatch(failure) || m_state == attempt_state::Prepared;
    result.ended = beforeDispatch ? attempt_result::kind::NotOffered : attempt_result::kind::Lost;
    m_state = nextState(m_state, beforeDispatch ? attempt_event::FailBeforeDispatch : attempt_event::Lose);
    const bool timedOut = failure == call_failure::Timeout && !beforeDispatch;
    release(timedOut ? recordTimeout() : slotResultOf(failure),
        beforeDispatch ? attempt_termination::Finished : terminationOf(failure));
    end(std::move(result));
}

attempt_state upstream_attempt::abandon(abandon_cause cause)
{
    internal_assert(!m_ended) << "an attempt ends twice";
    m_ended = true;
    if (m_ticket)
        m_environment.slots.cancelWait(*m_ticket);
    const bool offered = m_state == attempt_state::Offered;
    if (m_holdsSlot) {
        m_environment.upstreams.cancel(m_call);
        m_environment.hooks.log(
            attemptAbandoned(m_request, m_slot, cause, offered, m_environment.hooks.now() - m_startedAt));
        const auto resultAtDeadline = offered ? recordTimeout() : slot_result::kind::ConnectFailed;
        const auto resultIfUnneeded = offered ? slot_result::kind::Cancelled : slot_result::kind::Unused;
        release(cause == abandon_cause::Deadline ? resultAtDeadline : resultIfUnneeded,
            offered ? attempt_termination::Cancelled : attempt_termination::Finished);
    }
    m_state = nextState(m_state, offered ? attempt_event::Lose : attempt_event::FailBeforeDispatch);
    return m_state;
}

void upstream_attempt::release(slot_result::kind kind, attempt_termination termination)
{
    internal_assert(m_holdsSlot) << "a slot is released twice";
    m_holdsSlot = false;
    slot_result result;
    result.ended = kind;
    result.latency = m_environment.hooks.now() - m_startedAt;
    result.busyUntil = busyUntil(termination);
    result.metadata = m_metadata;
    m_environment.slots.release(m_slot.handle, result);
}

std::optional<time_point> upstream_attempt::busyUntil(attempt_termination termination) const
{
    if (!m_environment.options.policies.keepsSlotBusy(termination))
        return std::nullopt;
    const time_point now = m_environment.hooks.now();
    const time_point cancelledWorkEnd = now + m_environment.options.cancellationGrace;
    if (termination == attempt_termination::Lost)
        return std::max(m_request.deadline, cancelledWorkEnd);
    return cancelledWorkEnd;
}

void upstream_attempt::end(attempt_result result)
{
    const auto self = shared_from_this();
    m_ended = true;
    result.state = m_state;
    result.upstream = m_slot.upstream.id;
    result.generation = m_slot.upstream.generation;
    result.address = m_slot.upstream.address;
    m_environment.hooks.log(
        attemptEnded(m_request, result, m_gotSlot ? m_environment.hooks.now() - m_startedAt : duration::zero()));
    m_events.onEnd(std::move(result));
}

} // namespace plantainlatch
