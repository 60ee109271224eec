#include "decision/slots/slot_queue.h"

#include <algorithm>

namespace plantainlatch {

void slot_queue::push(slot_waiter waiter)
{
    const service_id service = waiter.request.service;
    const slot_ticket ticket = waiter.ticket;
    m_deadlines.emplace(waiter.request.deadline, ticket);
    service_queue& queue = m_queues[service];
    queue.push_back(std::move(waiter));
    m_positions[ticket] = { service, std::prev(queue.end()) };
}

std::optional<slot_waiter> slot_queue::remove(slot_ticket ticket)
{
    const auto found = m_positions.find(ticket);
    if (found == m_positions.end())
        return std::nullopt;
    service_queue& queue = m_queues[found->second.service];
    slot_waiter waiter = std::move(*found->second.position);
    queue.erase(found->second.position);
    if (queue.empty())
        m_queues.erase(found->second.service);
    m_positions.erase(found);
    auto [first, last] = m_deadlines.equal_range(waiter.request.deadline);
    const auto deadline = std::find_if(first, last, [ticket](const auto& item) { return item.second == ticket; });
    m_deadlines.erase(deadline);
    return waiter;
}

std::vector<slot_waiter> slot_queue::removeExpired(time_point now)
{
    std::vector<slot_waiter> expired;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now)
        expired.push_back(*remove(m_deadlines.begin()->second));
    return expired;
}

std::uint32_t slot_queue::waiting(const service_id& service) const
{
    const auto queue = m_queues.find(service);
    return queue == m_queues.end() ? 0 : static_cast<std::uint32_t>(queue->second.size());
}

std::uint32_t slot_queue::waitingSince(const service_id& service, time_point moment) const
{
    const auto queue = m_queues.find(service);
    if (queue == m_queues.end())
        return 0;
    const auto later = std::find_if(queue->second.begin(), queue->second.end(),
        [moment](const slot_waiter& item) { return item.queuedAt > moment; });
    return static_cast<std::uint32_t>(std::distance(queue->second.begin(), later));
}

const slot_waiter* slot_queue::front(const service_id& service) const
{
    const auto queue = m_queues.find(service);
    return queue == m_queues.end() ? nullptr : &queue->second.front();
}

std::vector<service_id> slot_queue::services() const
{
    std::vector<service_id> result;
    for (const auto& [service, queue] : m_queues)
        result.push_back(service);
    return result;
}

std::optional<time_point> slot_queue::nextDeadline() const
{
    if (m_deadlines.empty())
        return std::nullopt;
    return m_deadlines.begin()->first;
}

} // namespace plantainlatch
