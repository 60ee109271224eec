#include "decision/request/crash_guard.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "decision/request/system_answers.h"

namespace plantainlatch {

namespace {

    /** A permit is an idempotency key of the service with the empty name, which callers cannot address. */
    key_name permitName(const crash_key& key)
    {
        return { service_id(),
            idempotency_key(absl::StrCat("crash-permit/", key.service.value(), "/", key.fingerprint.value())) };
    }

    claim_key permitClaim(const crash_key& key, duration runLimit)
    {
        const key_name name = permitName(key);
        return { name.service, name.key, key.fingerprint, runLimit, runLimit };
    }

} // namespace

std::unique_ptr<crash_guard> crash_guard::create(const crash_guard_parts& parts)
{
    return std::unique_ptr<crash_guard>(new crash_guard(parts));
}

crash_guard::crash_guard(const crash_guard_parts& parts)
    : m_parts(parts)
    , m_trials(crash_trials::create(parts.hooks, parts.consensus, parts.control, parts.reportTimeout))
    , m_withdrawals(crash_withdrawals::create(parts.hooks, parts.consensus, parts.control))
{
    m_parts.control.onChange([this, alive = m_alive] {
        if (*alive)
            m_local.eraseShownIn(m_parts.control.state().crashes);
    });
}

crash_guard::~crash_guard() { *m_alive = false; }

void crash_guard::enter(crash_guard_ticket ticket, const guarded_request& request, time_point runUntil,
    std::function<void(crash_verdict)> decided)
{
    m_tickets.emplace(ticket, open_ticket { request, std::nullopt });
    waiter next { ticket, request, runUntil, std::move(decided) };
    if (refuses(request))
        tryTrial(std::move(next));
    else if (!m_parts.options.serializeEqualRequests || m_knownGood.contains(request.content, m_parts.hooks.now()))
        next.decided(crash_verdict::Allow);
    else
        enterQueue(std::move(next));
}

void crash_guard::refuse(const waiter& next)
{
    m_tickets.erase(next.ticket);
    next.decided(crash_verdict::Refuse);
}

const crash_key& crash_guard::trialKey(const guarded_request& request) const
{
    return refuses(request.caller) ? request.caller : request.content;
}

void crash_guard::tryTrial(waiter next)
{
    const crash_key key = trialKey(next.request);
    const crash_record* record = replicatedRecord(key);
    if (record == nullptr || m_trials->timeUntilTrial(key, *record) != duration::zero()) {
        reportAgain(next.request.content);
        reportAgain(next.request.caller);
        refuse(next);
        return;
    }
    m_trials->begin(key, [this, alive = m_alive, key, next = std::move(next)](bool permitted) {
        if (*alive)
            onTrial(next, key, permitted);
    });
}

void crash_guard::onTrial(const waiter& next, const crash_key& key, bool permitted)
{
    const auto ticket = m_tickets.find(next.ticket);
    if (ticket == m_tickets.end()) {
        if (permitted)
            m_trials->discard(key);
        return;
    }
    if (!permitted) {
        refuse(next);
        return;
    }
    ticket->second.trial = key;
    // A crash of the trial is reported although equal requests completed here.
    m_knownGood.remove(next.request.content);
    m_knownGood.remove(next.request.caller);
    next.decided(crash_verdict::Allow);
}

void crash_guard::enterQueue(waiter next)
{
    fingerprint_queue& queue = m_queues[next.request.content];
    if (queue.running == crash_guard_ticket())
        admit(std::move(next));
    else if (queue.waiting.size() >= maximumWaiting)
        refuse(next);
    else
        queue.waiting.push_back(std::move(next));
}

void crash_guard::admit(waiter next)
{
    m_queues[next.request.content].running = next.ticket;
    if (refuses(next.request))
        next.decided(crash_verdict::Refuse);
    else if (crashes(next.request.content) > 0)
        requestPermit(std::move(next));
    else
        next.decided(crash_verdict::Allow);
}

void crash_guard::requestPermit(waiter next)
{
    const duration runLimit = next.runUntil - m_parts.hooks.now();
    const claim_key claim = permitClaim(next.request.content, runLimit);
    m_parts.claims.claim(claim, runLimit, [this, alive = m_alive, next = std::move(next)](const claim_answer& answer) {
        if (*alive)
            onPermit(next, answer);
    });
}

void crash_guard::onPermit(const waiter& next, const claim_answer& answer)
{
    const bool permitted = answer.state == claim_state::Claimed;
    const bool ticketIsOpen = m_tickets.contains(next.ticket);
    if (permitted && !ticketIsOpen)
        m_parts.claims.settle(answer.held, outcome::NotRun, std::nullopt);
    if (!ticketIsOpen)
        return;
    if (permitted)
        m_queues[next.request.content].permit = answer.held;
    next.decided(permitted && !refuses(next.request) ? crash_verdict::Allow : crash_verdict::Refuse);
}

void crash_guard::report(
    const guarded_request& request, const crashed_upstream& upstream, std::function<void(bool)> reported)
{
    const time_point now = m_parts.hooks.now();
    const bool countsContent = m_knownGood.countLoss(request.content, now);
    const bool countsCaller = m_knownGood.countLoss(request.caller, now);
    if (countsContent)
        m_local.add(request.content, upstream, now);
    if (countsCaller)
        m_local.add(request.caller, upstream, now);
    if (!countsContent) {
        // Equal requests of other callers may go on, so the retry does not wait for the report.
        if (countsCaller)
            propose(request.caller, std::nullopt, upstream, [] {});
        reported(false);
        return;
    }
    propose(request.content, countsCaller ? std::optional(request.caller) : std::nullopt, upstream,
        [reported = std::move(reported)] { reported(true); });
}

void crash_guard::propose(const crash_key& key, const std::optional<crash_key>& other, const crashed_upstream& upstream,
    std::function<void()> done)
{
    report_crash command { key.service, key.fingerprint, upstream.id, upstream.generation, std::nullopt };
    if (other)
        command.otherFingerprint = other->fingerprint;
    m_parts.consensus.propose(command, m_parts.reportTimeout,
        [this, alive = m_alive, key, other, upstream, done = std::move(done)](
            const absl::StatusOr<command_result>& result) {
            if (!*alive)
                return;
            const time_point now = m_parts.hooks.now();
            const std::size_t limit = m_parts.options.limit;
            if (result.ok())
                m_local.accept(key, upstream, result->crashedUpstreams >= limit, now);
            if (result.ok() && other)
                m_local.accept(*other, upstream, result->otherCrashedUpstreams >= limit, now);
            done();
        });
}

/** Crashes that only this VM counts can't be withdrawn by others, and allow no trial. */
void crash_guard::reportAgain(const crash_key& key)
{
    const std::optional<crashed_upstream> upstream = m_local.firstUnaccepted(key);
    if (!upstream || !m_reportedAgain.insert(key).second)
        return;
    propose(key, std::nullopt, *upstream, [this, key] { m_reportedAgain.erase(key); });
}

const crash_record* crash_guard::replicatedRecord(const crash_key& key) const
{
    const auto& records = m_parts.control.state().crashes;
    const auto found = records.find(key);
    return found != records.end() && isRetained(found->second, m_parts.hooks.wallNow()) ? &found->second : nullptr;
}

std::size_t crash_guard::crashes(const crash_key& key) const
{
    std::set<crashed_upstream> upstreams;
    if (const auto* observed = m_local.find(key, m_parts.hooks.now()))
        upstreams = *observed;
    const crash_record* record = replicatedRecord(key);
    if (record == nullptr)
        return upstreams.size();
    upstreams.insert(record->upstreams.begin(), record->upstreams.end());
    return upstreams.size() + record->withoutGeneration.size();
}

bool crash_guard::refuses(const crash_key& key) const
{
    return m_local.refuses(key, m_parts.hooks.now()) || crashes(key) >= m_parts.options.limit;
}

bool crash_guard::refuses(const guarded_request& request) const
{
    return refuses(request.content) || refuses(request.caller);
}

duration crash_guard::retryAfter(const guarded_request& request)
{
    if (!refuses(request))
        return shortRetryAfter;
    const crash_key& key = trialKey(request);
    const crash_record* record = replicatedRecord(key);
    if (record == nullptr)
        return firstTrialDelay;
    const std::optional<duration> delay = m_trials->timeUntilTrial(key, *record);
    const duration untilExpiry = record->lastSeen + crashRetention - m_parts.hooks.wallNow();
    return std::max(shortRetryAfter, delay.value_or(untilExpiry));
}

void crash_guard::leave(crash_guard_ticket ticket, guarded_end end)
{
    const auto position = m_tickets.find(ticket);
    if (position == m_tickets.end())
        return;
    const open_ticket ended = std::move(position->second);
    m_tickets.erase(position);
    if (end == guarded_end::Completed)
        recordCompletion(ended);
    if (end == guarded_end::Unjudged && ended.trial)
        m_trials->discard(*ended.trial);
    leaveQueue(ended.request.content, ticket, end == guarded_end::Completed);
}

void crash_guard::recordCompletion(const open_ticket& ticket)
{
    // Completions of other callers clear the content, however often. Callers behind one address may differ.
    const bool isCallerRefused = refuses(ticket.request.caller);
    for (const crash_key& key : { ticket.request.content, ticket.request.caller }) {
        m_local.erase(key);
        m_knownGood.add(key, m_parts.hooks.now());
        const bool liftsRefusal = isCallerRefused && key == ticket.request.caller;
        if (ticket.trial)
            m_withdrawals->onCompletedTrial(key, liftsRefusal);
        else
            m_withdrawals->onCompletion(key, liftsRefusal);
    }
}

void crash_guard::leaveQueue(const crash_key& key, crash_guard_ticket ticket, bool completed)
{
    const auto position = m_queues.find(key);
    if (position == m_queues.end())
        return;
    fingerprint_queue& queue = position->second;
    if (queue.running != ticket) {
        std::erase_if(queue.waiting, [ticket](const waiter& item) { return item.ticket == ticket; });
        return;
    }
    if (queue.permit)
        m_parts.claims.settle(*queue.permit, outcome::NotRun, std::nullopt);
    queue.permit.reset();
    queue.running = {};
    if (completed)
        admitAll(key);
    else
        admitNext(key);
}

void crash_guard::admitNext(const crash_key& key)
{
    fingerprint_queue& queue = m_queues[key];
    if (queue.waiting.empty()) {
        m_queues.erase(key);
        return;
    }
    waiter next = std::move(queue.waiting.front());
    queue.waiting.pop_front();
    admit(std::move(next));
}

void crash_guard::admitAll(const crash_key& key)
{
    const std::deque<waiter> waiting = std::move(m_queues[key].waiting);
    m_queues.erase(key);
    for (const waiter& item : waiting) {
        if (m_tickets.contains(item.ticket))
            item.decided(crash_verdict::Allow);
    }
}

} // namespace plantainlatch
