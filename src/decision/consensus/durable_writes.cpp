#include "decision/consensus/durable_writes.h"

#include <algorithm>
#include <utility>

namespace plantainlatch {

std::uint64_t durable_writes::begin(log_index lastIndex)
{
    m_pending.emplace(++m_lastNumber, pending_write { lastIndex });
    return m_lastNumber;
}

void durable_writes::complete(std::uint64_t number)
{
    const auto write = m_pending.find(number);
    if (write == m_pending.end())
        return;
    write->second.completed = true;
    processCompleted();
}

void durable_writes::processCompleted()
{
    while (!m_pending.empty() && m_pending.begin()->second.completed) {
        m_durableIndex = std::max(m_durableIndex, m_pending.begin()->second.lastIndex);
        m_pending.erase(m_pending.begin());
    }
    const std::uint64_t lastDurable = m_pending.empty() ? m_lastNumber : m_pending.begin()->first - 1;
    while (!m_waiting.empty() && m_waiting.begin()->first <= lastDurable) {
        const std::function<void()> action = std::move(m_waiting.extract(m_waiting.begin()).mapped());
        action();
    }
}

void durable_writes::truncateFrom(log_index index)
{
    const log_index last(index.value() - 1);
    m_durableIndex = std::min(m_durableIndex, last);
    for (auto& [number, write] : m_pending)
        write.lastIndex = std::min(write.lastIndex, last);
}

void durable_writes::whenDurable(std::function<void()> action)
{
    if (m_pending.empty())
        action();
    else
        m_waiting.emplace(m_lastNumber, std::move(action));
}

void durable_writes::abandon()
{
    m_pending.clear();
    m_waiting.clear();
}

} // namespace plantainlatch
