#include "decision/shifts/shift_limiters.h"

#include <utility>

namespace plantainlatch {

void shift_limiters::update(const std::map<shift_id, shift_definition>& definitions)
{
    std::erase_if(m_shifts, [&](const auto& entry) { return !definitions.contains(entry.first); });
    for (const auto& [id, definition] : definitions) {
        const auto [found, isNew]
            = m_shifts.try_emplace(id, limited_shift { definition, shift_rate_limiter(m_options.window) });
        if (isNew || found->second.definition == definition)
            continue;
        found->second.definition = definition;
        found->second.limiter.clearQuota();
    }
}

void shift_limiters::receive(const heartbeat_answer& answer, time_point sentAt)
{
    for (const shift_quota& quota : answer.quotas) {
        const auto found = m_shifts.find(quota.shift);
        if (found != m_shifts.end() && quota.perWindow <= found->second.definition.capPerSecond)
            found->second.limiter.setQuota(quota.perWindow, sentAt + answer.quotaLease);
    }
}

bool shift_limiters::tryAcquire(const shift_id& shift, time_point now)
{
    const auto found = m_shifts.find(shift);
    if (found == m_shifts.end())
        return false;
    ++found->second.requested;
    if (!found->second.limiter.tryAcquire(now))
        return false;
    ++found->second.admitted;
    return true;
}

std::vector<shift_usage> shift_limiters::takeUsage(time_point now)
{
    std::vector<shift_usage> usage;
    for (auto& [id, item] : m_shifts)
        usage.push_back(
            { id, std::exchange(item.admitted, 0), std::exchange(item.requested, 0), item.limiter.held(now) });
    return usage;
}

} // namespace plantainlatch
