#include "decision/shifts/shift_spending.h"

#include <utility>

namespace plantainlatch {

void shift_spending::follow(const std::map<shift_id, shift_definition>& definitions)
{
    std::erase_if(m_shifts, [&](const auto& entry) { return !definitions.contains(entry.first); });
    for (const auto& [id, definition] : definitions) {
        const auto [found, isNew] = m_shifts.try_emplace(id, spending { definition, shift_pacer(m_options.window) });
        if (isNew || found->second.definition == definition)
            continue;
        found->second.definition = definition;
        found->second.pacer.forbid();
    }
}

void shift_spending::receive(const heartbeat_answer& answer, time_point sentAt)
{
    for (const shift_allowance& allowance : answer.allowances) {
        const auto found = m_shifts.find(allowance.shift);
        if (found != m_shifts.end() && allowance.perWindow <= found->second.definition.capPerSecond)
            found->second.pacer.allow(allowance.perWindow, sentAt + answer.allowanceLease);
    }
}

bool shift_spending::trySpend(const shift_id& shift, time_point now)
{
    const auto found = m_shifts.find(shift);
    if (found == m_shifts.end())
        return false;
    ++found->second.wanted;
    if (!found->second.pacer.trySpend(now))
        return false;
    ++found->second.spent;
    return true;
}

std::vector<shift_usage> shift_spending::takeUsage(time_point now)
{
    std::vector<shift_usage> usage;
    for (auto& [id, item] : m_shifts)
        usage.push_back({ id, std::exchange(item.spent, 0), std::exchange(item.wanted, 0), item.pacer.held(now) });
    return usage;
}

} // namespace plantainlatch
