#include "decision/request/crash_guard.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "core/internal_assert.h"
#include "decision/control/crash_table.h"

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
{
}

crash_guard::~crash_guard() { *m_alive = false; }

void crash_guard::enter(
    crash_guard_ticket ticket, const crash_key& key, time_point runUntil, std::function<void(crash_verdict)> decided)
{
    if (refuses(key)) {
        decided(crash_verdict::Refuse);
        return;
    }
    m_tickets.emplace(ticket, key);
    if (!m_parts.options.serializeEqualRequests || m_knownGood.contains(key, m_parts.hooks.now())) {
        decided(crash_verdict::Allow);
        return;
    }
    fingerprint_queue& queue = m_queues[key];
    if (queue.running == crash_guard_ticket()) {
        admit(key, { ticket, runUntil, std::move(decided) });
        return;
    }
    if (queue.waiting.size() >= maximumWaiting) {
        m_tickets.erase(ticket);
        decided(crash_verdict::Refuse);
        return;
    }
    queue.waiting.push_back({ ticket, runUntil, std::move(decided) });
}

void crash_guard::admit(const crash_key& key, waiter next)
{
    fingerprint_queue& queue = m_queues[key];
    queue.running = next.ticket;
    if (refuses(key))
        next.decided(crash_verdict::Refuse);
    else if (crashes(key) > 0)
        requestPermit(key, std::move(next));
    else
        next.decided(crash_verdict::Allow);
}

void crash_guard::requestPermit(const crash_key& key, waiter next)
{
    const duration runLimit = next.runUntil - m_parts.hooks.now();
    m_parts.claims.claim(permitClaim(key, runLimit), runLimit,
        [this, alive = m_alive, key, next = std::move(next)](const claim_answer& answer) {
            if (*alive)
                onPermit(key, next, answer);
        });
}

void crash_guard::onPermit(const crash_key& key, const waiter& next, const claim_answer& answer)
{
    const bool permitted = answer.state == claim_state::Claimed;
    const bool ticketIsOpen = m_tickets.contains(next.ticket);
    if (permitted && !ticketIsOpen)
        m_parts.claims.settle(answer.held, outcome::NotRun, std::nullopt);
    if (!ticketIsOpen)
        return;
    if (permitted)
        m_queues[key].permit = answer.held;
    next.decided(permitted && !refuses(key) ? crash_verdict::Allow : crash_verdict::Refuse);
}

void crash_guard::report(const crash_key& key, const crashed_upstream& upstream, std::function<void(bool)> reported)
{
    if (!m_knownGood.countLoss(key, m_parts.hooks.now())) {
        reported(false);
        return;
    }
    recordLocalCrash(key, upstream);
    m_parts.consensus.propose(report_crash { key.service, key.fingerprint, upstream.id, upstream.generation },
        m_parts.reportTimeout,
        [this, alive = m_alive, key, reported = std::move(reported)](const absl::StatusOr<command_result>& result) {
            if (!*alive)
                return;
            onReported(key, result);
            reported(true);
        });
}

void crash_guard::onReported(const crash_key& key, const absl::StatusOr<command_result>& result)
{
    const auto seen = m_localCrashes.find(key);
    if (seen != m_localCrashes.end() && result.ok() && result->crashedUpstreams >= m_parts.options.limit)
        seen->second.refused = true;
}

bool crash_guard::refuses(const crash_key& key) const
{
    if (isBlockedByCrashes(m_parts.control.state(), key, m_parts.hooks.wallNow(), m_parts.options.limit))
        return true;
    const local_crash* crash = recentLocalCrash(key);
    if (crash != nullptr && crash->refused)
        return true;
    return crashes(key) >= m_parts.options.limit;
}

const crash_guard::local_crash* crash_guard::recentLocalCrash(const crash_key& key) const
{
    const auto seen = m_localCrashes.find(key);
    const bool recent = seen != m_localCrashes.end() && m_parts.hooks.now() < seen->second.lastSeen + crashRetention;
    return recent ? &seen->second : nullptr;
}

std::size_t crash_guard::crashes(const crash_key& key) const
{
    std::set<crashed_upstream> upstreams;
    if (const local_crash* crash = recentLocalCrash(key))
        upstreams = crash->upstreams;
    const auto& records = m_parts.control.state().crashes;
    const auto replicated = records.find(key);
    if (replicated == records.end() || m_parts.hooks.wallNow() >= replicated->second.lastSeen + crashRetention)
        return upstreams.size();
    upstreams.insert(replicated->second.upstreams.begin(), replicated->second.upstreams.end());
    return upstreams.size() + replicated->second.withoutGeneration.size();
}

void crash_guard::recordLocalCrash(const crash_key& key, const crashed_upstream& upstream)
{
    if (!m_localCrashes.contains(key) && m_localCrashes.size() >= maximumLocalCrashes) {
        m_localCrashes.erase(std::min_element(m_localCrashes.begin(), m_localCrashes.end(),
            [](const auto& left, const auto& right) { return left.second.lastSeen < right.second.lastSeen; }));
    }
    if (recentLocalCrash(key) == nullptr)
        m_localCrashes.erase(key);
    local_crash& crash = m_localCrashes[key];
    crash.lastSeen = m_parts.hooks.now();
    if (crash.upstreams.size() < maximumCrashedUpstreams)
        crash.upstreams.insert(upstream);
}

void crash_guard::leave(crash_guard_ticket ticket, bool completed)
{
    const auto position = m_tickets.find(ticket);
    if (position == m_tickets.end())
        return;
    const crash_key key = position->second;
    m_tickets.erase(position);
    if (completed)
        m_knownGood.add(key, m_parts.hooks.now());
    leaveQueue(key, ticket, completed);
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
    admit(key, std::move(next));
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
