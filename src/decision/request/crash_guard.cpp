#include "decision/request/crash_guard.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "core/internal_assert.h"
#include "decision/control/crash_table.h"

namespace plantainlatch {

namespace {

    /** Permits are keys of the service without a name, which no caller can name. */
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
    crash_pass pass, const crash_key& key, time_point runUntil, std::function<void(crash_verdict)> decided)
{
    if (refuses(key)) {
        decided(crash_verdict::Refuse);
        return;
    }
    m_passes.emplace(pass, key);
    if (!m_parts.options.oneAtATime || m_proven.contains(key, m_parts.hooks.now())) {
        decided(crash_verdict::Pass);
        return;
    }
    gate& entered = m_gates[key];
    if (entered.running == crash_pass()) {
        admit(key, { pass, runUntil, std::move(decided) });
        return;
    }
    if (entered.waiting.size() >= maximumWaiting) {
        m_passes.erase(pass);
        decided(crash_verdict::Refuse);
        return;
    }
    entered.waiting.push_back({ pass, runUntil, std::move(decided) });
}

void crash_guard::admit(const crash_key& key, waiter next)
{
    gate& entered = m_gates[key];
    entered.running = next.pass;
    if (refuses(key))
        next.decided(crash_verdict::Refuse);
    else if (crashedUpstreams(key) > 0)
        askPermit(key, std::move(next));
    else
        next.decided(crash_verdict::Pass);
}

void crash_guard::askPermit(const crash_key& key, waiter next)
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
    const bool stillHere = m_passes.contains(next.pass);
    if (permitted && !stillHere)
        m_parts.claims.settle(answer.held, outcome::NotRun, std::nullopt);
    if (!stillHere)
        return;
    if (permitted)
        m_gates[key].permit = answer.held;
    next.decided(permitted && !refuses(key) ? crash_verdict::Pass : crash_verdict::Refuse);
}

void crash_guard::report(const crash_key& key, const upstream_id& upstream, std::function<void(bool)> reported)
{
    if (!m_proven.countLoss(key, m_parts.hooks.now())) {
        reported(false);
        return;
    }
    noteSeenHere(key, upstream);
    m_parts.consensus.propose(report_crash { key.service, key.fingerprint, upstream }, m_parts.reportTimeout,
        [this, alive = m_alive, key, reported = std::move(reported)](const absl::StatusOr<command_result>& result) {
            if (!*alive)
                return;
            onReported(key, result);
            reported(true);
        });
}

void crash_guard::onReported(const crash_key& key, const absl::StatusOr<command_result>& result)
{
    const auto seen = m_seenHere.find(key);
    if (seen != m_seenHere.end() && result.ok() && result->crashedUpstreams >= m_parts.options.limit)
        seen->second.refused = true;
}

bool crash_guard::refuses(const crash_key& key) const
{
    if (isBlockedByCrashes(m_parts.control.state(), key, m_parts.hooks.wallNow(), m_parts.options.limit))
        return true;
    const seen_crash* seen = seenHere(key);
    if (seen != nullptr && seen->refused)
        return true;
    return crashedUpstreams(key) >= m_parts.options.limit;
}

const crash_guard::seen_crash* crash_guard::seenHere(const crash_key& key) const
{
    const auto seen = m_seenHere.find(key);
    const bool recent = seen != m_seenHere.end() && m_parts.hooks.now() < seen->second.lastSeen + crashRetention;
    return recent ? &seen->second : nullptr;
}

std::size_t crash_guard::crashedUpstreams(const crash_key& key) const
{
    std::set<upstream_id> upstreams;
    if (const seen_crash* seen = seenHere(key))
        upstreams = seen->upstreams;
    const auto& crashes = m_parts.control.state().crashes;
    const auto agreed = crashes.find(key);
    if (agreed != crashes.end() && m_parts.hooks.wallNow() < agreed->second.lastSeen + crashRetention)
        upstreams.insert(agreed->second.upstreams.begin(), agreed->second.upstreams.end());
    return upstreams.size();
}

void crash_guard::noteSeenHere(const crash_key& key, const upstream_id& upstream)
{
    if (!m_seenHere.contains(key) && m_seenHere.size() >= maximumSeenHere) {
        m_seenHere.erase(std::min_element(m_seenHere.begin(), m_seenHere.end(),
            [](const auto& left, const auto& right) { return left.second.lastSeen < right.second.lastSeen; }));
    }
    if (seenHere(key) == nullptr)
        m_seenHere.erase(key);
    seen_crash& seen = m_seenHere[key];
    seen.lastSeen = m_parts.hooks.now();
    if (seen.upstreams.size() < maximumCrashedUpstreams)
        seen.upstreams.insert(upstream);
}

void crash_guard::leave(crash_pass pass, bool completed)
{
    const auto position = m_passes.find(pass);
    if (position == m_passes.end())
        return;
    const crash_key key = position->second;
    m_passes.erase(position);
    if (completed)
        m_proven.add(key, m_parts.hooks.now());
    leaveGate(key, pass, completed);
}

void crash_guard::leaveGate(const crash_key& key, crash_pass pass, bool completed)
{
    const auto position = m_gates.find(key);
    if (position == m_gates.end())
        return;
    gate& left = position->second;
    if (left.running != pass) {
        std::erase_if(left.waiting, [pass](const waiter& item) { return item.pass == pass; });
        return;
    }
    if (left.permit)
        m_parts.claims.settle(*left.permit, outcome::NotRun, std::nullopt);
    left.permit.reset();
    left.running = {};
    if (completed)
        admitAll(key);
    else
        admitNext(key);
}

void crash_guard::admitNext(const crash_key& key)
{
    gate& entered = m_gates[key];
    if (entered.waiting.empty()) {
        m_gates.erase(key);
        return;
    }
    waiter next = std::move(entered.waiting.front());
    entered.waiting.pop_front();
    admit(key, std::move(next));
}

void crash_guard::admitAll(const crash_key& key)
{
    const std::deque<waiter> waiting = std::move(m_gates[key].waiting);
    m_gates.erase(key);
    for (const waiter& item : waiting) {
        if (m_passes.contains(item.pass))
            item.decided(crash_verdict::Pass);
    }
}

} // namespace plantainlatch
