#include "support/fake_upstreams.h"

#include <algorithm>

namespace plantainlatch {

fake_upstreams::fake_upstreams(
    paused_runtime& runtime, const service_id& service, std::size_t count, std::uint32_t slots)
    : m_runtime(runtime)
{
    for (std::size_t i = 0; i < count; ++i) {
        upstream_record record;
        record.announcement.id = upstream_id("u" + std::to_string(i));
        record.announcement.service = service;
        record.announcement.address = { "127.0.0.1", static_cast<std::uint16_t>(9000 + i) };
        record.announcement.slots = slot_count(slots);
        m_upstreams.emplace(record.announcement.id, record);
    }
}

fake_upstreams::entry_ports fake_upstreams::ports()
{
    const std::size_t entry = m_entries++;
    entry_ports created;
    created.slots.acquire = [this, entry](slot_request request, std::function<void(slot_answer)> onSlot) {
        return acquire(entry, std::move(request), std::move(onSlot));
    };
    created.slots.cancelWait = [this](slot_ticket ticket) { m_waiters.erase(ticket.value()); };
    created.slots.release = [this](slot_handle handle, const slot_result& result) { release(handle, result); };
    created.upstreams.start
        = [this, entry](const upstream_call& call, call_events events) { start(entry, call, std::move(events)); };
    created.upstreams.cancel = [this, entry](call_id call) { cancelCall({ entry, call.value() }); };
    return created;
}

void fake_upstreams::killEntry(std::size_t entry, duration lease)
{
    std::erase_if(m_open, [&](const auto& item) {
        if (item.second.entry != entry)
            return false;
        stopWork(item.second);
        return true;
    });
    std::erase_if(m_waiters, [entry](const auto& item) { return item.second.entry == entry; });
    slot_result returned;
    returned.busyUntil = m_runtime.now() + lease;
    std::vector<slot_handle> orphans;
    for (const auto& [handle, holder] : m_heldSlots) {
        if (holder.entry == entry)
            orphans.push_back(handle);
    }
    for (const slot_handle handle : orphans)
        release(handle, returned);
}

void fake_upstreams::revokeSlots()
{
    for (const auto& [handle, holder] : m_heldSlots)
        m_runtime.schedule(duration::zero(), holder.onRevoked);
}

slot_ticket fake_upstreams::acquire(std::size_t entry, slot_request request, std::function<void(slot_answer)> onSlot)
{
    const std::uint64_t ticket = ++m_lastId;
    const time_point deadline = request.deadline;
    m_waiters.emplace(ticket, slot_waiter { entry, std::move(request), std::move(onSlot) });
    serveWaiters();
    if (m_waiters.contains(ticket)) {
        m_runtime.schedule(deadline - m_runtime.now(), [this, ticket] {
            auto waiter = m_waiters.extract(ticket);
            if (!waiter.empty())
                waiter.mapped().onSlot({ std::nullopt, slot_refusal::Overloaded });
        });
    }
    return slot_ticket(ticket);
}

void fake_upstreams::release(slot_handle handle, const slot_result& result)
{
    released.push_back(result);
    const upstream_id id = m_heldSlots.at(handle).upstream;
    m_heldSlots.erase(handle);
    const duration busy = result.busyUntil ? *result.busyUntil - m_runtime.now() : duration::zero();
    m_runtime.schedule(busy, [this, id] {
        --m_upstreams.at(id).inUse;
        serveWaiters();
    });
}

void fake_upstreams::serveWaiters()
{
    for (auto position = m_waiters.begin(); position != m_waiters.end();) {
        const std::optional<upstream_id> chosen = choose(position->second.request);
        if (!chosen)
            return;
        auto waiter = m_waiters.extract(position);
        waiter.mapped().onSlot(grant(waiter.mapped(), *chosen));
        position = m_waiters.begin();
    }
}

std::optional<upstream_id> fake_upstreams::choose(const slot_request& request) const
{
    const upstream_record* best = nullptr;
    bool bestAvoided = false;
    for (const auto& [id, record] : m_upstreams) {
        if (record.crashed || record.inUse >= record.announcement.slots.value())
            continue;
        const bool avoided = std::find(request.avoid.begin(), request.avoid.end(), id) != request.avoid.end();
        const bool better
            = best == nullptr || (bestAvoided && !avoided) || (bestAvoided == avoided && record.inUse < best->inUse);
        if (!better)
            continue;
        best = &record;
        bestAvoided = avoided;
    }
    if (best == nullptr)
        return std::nullopt;
    return best->announcement.id;
}

slot_answer fake_upstreams::grant(const slot_waiter& waiter, const upstream_id& chosen)
{
    upstream_record& record = m_upstreams.at(chosen);
    ++record.inUse;
    const slot_handle handle(++m_lastId);
    m_heldSlots.emplace(handle, slot_holder { waiter.entry, chosen, waiter.request.onRevoked });
    return { held_slot { handle, record.announcement, m_runtime.now() + std::chrono::seconds(2) }, {} };
}

void fake_upstreams::start(std::size_t entry, const upstream_call& call, call_events events)
{
    const call_key key { entry, call.id.value() };
    onCall(call);
    calls.push_back({ call, behaviour(call), m_runtime.now() });
    const call_behaviour& chosen = calls.back().behaviour;
    m_open.emplace(key, open_call { entry, calls.size() - 1, std::move(events), {}, {} });
    const bool dispatched
        = chosen.ends != call_behaviour::kind::ConnectFailed && chosen.ends != call_behaviour::kind::ConnectionLimit;
    const bool crashed = m_upstreams.at(call.upstream).crashed;
    if (dispatched && !crashed)
        m_open.at(key).events.onDispatch();
    using kind = call_behaviour::kind;
    const bool runsWork = chosen.ends == kind::Answer || chosen.ends == kind::LostAnswer
        || chosen.ends == kind::MalformedAnswer || chosen.ends == kind::OtherAnswer || chosen.ends == kind::Crash;
    if (runsWork && !crashed)
        runWork(m_open.at(key), calls.back());
    if (crashed)
        calls.back().behaviour.ends = call_behaviour::kind::ConnectFailed;
    if (chosen.ends == call_behaviour::kind::Crash)
        m_runtime.schedule(chosen.delay, [this, id = call.upstream] { crash(id); });
    else if (chosen.ends != call_behaviour::kind::Silent)
        m_runtime.schedule(chosen.delay, [this, key] { endCall(key); });
    m_runtime.schedule(call.timeout, [this, key] {
        auto open = m_open.extract(key);
        if (!open.empty())
            open.mapped().events.onFailure(call_failure::Timeout);
    });
}

void fake_upstreams::runWork(open_call& open, const recorded_call& seen)
{
    ++runs[seen.call.body.bytes()];
    upstream_record& record = m_upstreams.at(seen.call.upstream);
    peakRunning = std::max(peakRunning, ++record.running);
    const duration span = std::min(seen.behaviour.delay, seen.call.timeout);
    open.workEndsAt = m_runtime.now() + span;
    open.workEnd = m_runtime.schedule(span, [&record] { --record.running; });
}

void fake_upstreams::stopWork(const open_call& open)
{
    const duration cancellationDelay = std::chrono::milliseconds(m_runtime.random() % 100);
    if (open.workEndsAt <= m_runtime.now() + cancellationDelay)
        return;
    m_runtime.cancel(open.workEnd);
    upstream_record& record = m_upstreams.at(calls[open.index].call.upstream);
    m_runtime.schedule(cancellationDelay, [&record] { --record.running; });
}

void fake_upstreams::crash(const upstream_id& id)
{
    ++crashes;
    upstream_record& record = m_upstreams.at(id);
    record.crashed = true;
    if (restartAfter) {
        m_runtime.schedule(*restartAfter, [this, &record] {
            record.crashed = false;
            record.announcement.generation = upstream_generation(record.announcement.generation.value() + 1);
            serveWaiters();
        });
    }
    resetConnections(id);
}

void fake_upstreams::resetConnections(const upstream_id& id)
{
    std::vector<call_events> lost;
    std::erase_if(m_open, [&](const auto& item) {
        if (calls[item.second.index].call.upstream != id)
            return false;
        lost.push_back(item.second.events);
        return true;
    });
    for (const call_events& events : lost)
        events.onFailure(call_failure::Lost);
}

std::vector<upstream_id> fake_upstreams::ids() const
{
    std::vector<upstream_id> ids;
    for (const auto& [id, record] : m_upstreams)
        ids.push_back(id);
    return ids;
}

void fake_upstreams::endCall(const call_key& key)
{
    auto open = m_open.extract(key);
    if (open.empty())
        return;
    const recorded_call seen = calls[open.mapped().index];
    const call_events& events = open.mapped().events;
    switch (seen.behaviour.ends) {
    case call_behaviour::kind::Answer:
        events.onAnswer({ 200, {}, "answer to " + seen.call.target + seen.call.body.bytes() });
        return;
    case call_behaviour::kind::ConnectFailed:
        events.onFailure(call_failure::ConnectFailed);
        return;
    case call_behaviour::kind::ConnectionLimit:
        events.onFailure(call_failure::ConnectionLimit);
        return;
    case call_behaviour::kind::MarkedRefusal:
        events.onAnswer({ seen.behaviour.refusalStatus, { { "x-plantainlatch-not-run", "1" } }, "full" });
        return;
    case call_behaviour::kind::UnmarkedRefusal:
        events.onAnswer({ seen.behaviour.refusalStatus, {}, "full" });
        return;
    case call_behaviour::kind::Crash:
    case call_behaviour::kind::LostRequest:
    case call_behaviour::kind::LostAnswer:
        events.onFailure(call_failure::Lost);
        return;
    case call_behaviour::kind::MalformedAnswer:
        events.onFailure(call_failure::Malformed);
        return;
    case call_behaviour::kind::OtherAnswer:
        events.onFailure(call_failure::OtherAnswer);
        return;
    case call_behaviour::kind::Silent:
        return;
    }
}

void fake_upstreams::cancelCall(const call_key& key)
{
    const auto open = m_open.find(key);
    if (open == m_open.end())
        return;
    calls[open->second.index].cancelled = true;
    stopWork(open->second);
    m_open.erase(open);
}

} // namespace plantainlatch
