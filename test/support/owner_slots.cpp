#include "support/owner_slots.h"

#include <optional>

namespace plantainlatch {

using namespace simulated_deployment;

owner_slots::owner_slots(paused_runtime& runtime)
    : m_runtime(runtime)
    , m_owners(entryCount)
{
    for (std::size_t number = 0; number < upstreamCount; ++number) {
        std::vector<std::size_t> inRegion;
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            if (entry % regionCount == number % regionCount)
                inRegion.push_back(entry);
        }
        owner& chosen = m_owners[inRegion[number / regionCount % inRegion.size()]];
        for (std::uint32_t slot = 0; slot < slotsPerUpstream; ++slot)
            chosen.free.push_back(number);
        chosen.slots += slotsPerUpstream;
    }
}

slot_port owner_slots::portOf(std::size_t entry)
{
    slot_port port;
    port.acquire = [this, entry](const slot_request& request, std::function<void(slot_answer)> answer) {
        const slot_ticket ticket(++m_last);
        m_waiting[ticket] = std::move(answer);
        requestSlot(entry, ticket, request.deadline, regionCount);
        return ticket;
    };
    port.cancelWait = [this](slot_ticket ticket) { m_waiting.erase(ticket); };
    port.release = [this, entry](slot_handle handle, const slot_result& result) { release(entry, handle, result); };
    return port;
}

duration owner_slots::delay(std::size_t left, std::size_t right) const
{
    return left == right ? duration::zero() : oneWay(regionOfNumber(left), regionOfNumber(right));
}

void owner_slots::requestSlot(std::size_t entry, slot_ticket ticket, time_point deadline, std::size_t regionsLeft)
{
    const std::size_t target = randomEntryIn(m_runtime, (entry + regionCount - regionsLeft) % regionCount);
    m_runtime.schedule(delay(entry, target), [this, entry, target, ticket, deadline, regionsLeft] {
        arrive(target, { entry, ticket, deadline }, regionsLeft);
    });
}

void owner_slots::arrive(std::size_t target, const waiter& item, std::size_t regionsLeft)
{
    owner& found = m_owners[target];
    const duration wait = meanServiceTime * (found.queue.size() + 1) / found.slots;
    if (!found.free.empty() || m_runtime.now() + wait * 2 < item.deadline) {
        found.queue.push_back(item);
        serve(target);
        return;
    }
    m_runtime.schedule(delay(target, item.entry), [this, item, regionsLeft] {
        if (regionsLeft > 1)
            requestSlot(item.entry, item.ticket, item.deadline, regionsLeft - 1);
        else
            deliver(item.ticket, { std::nullopt, slot_refusal::Overloaded });
    });
}

void owner_slots::serve(std::size_t number)
{
    owner& found = m_owners[number];
    while (!found.free.empty() && !found.queue.empty()) {
        const waiter item = found.queue.front();
        found.queue.pop_front();
        if (item.deadline <= m_runtime.now() || !m_waiting.contains(item.ticket))
            continue;
        const std::size_t upstream = found.free.front();
        found.free.pop_front();
        const slot_handle handle(++m_last);
        m_handles[handle] = { number, upstream };
        m_runtime.schedule(delay(number, item.entry), [this, item, handle, upstream] {
            const held_slot slot { handle, announcementOf(upstream), time_point::max() };
            if (!deliver(item.ticket, { slot, {} }))
                release(item.entry, handle, {});
        });
    }
}

bool owner_slots::deliver(slot_ticket ticket, const slot_answer& answer)
{
    auto waiting = m_waiting.extract(ticket);
    if (waiting.empty())
        return false;
    waiting.mapped()(answer);
    return true;
}

void owner_slots::release(std::size_t entry, slot_handle handle, const slot_result& result)
{
    const auto [number, upstream] = m_handles.at(handle);
    m_handles.erase(handle);
    const duration busy = result.busyUntil ? *result.busyUntil - m_runtime.now() : duration::zero();
    m_runtime.schedule(busy + delay(entry, number), [this, number = number, upstream = upstream] {
        m_owners[number].free.push_back(upstream);
        serve(number);
    });
}

} // namespace plantainlatch
