#include "decision/request/proven_requests.h"

#include <utility>

namespace plantainlatch {

const proven_requests::proof* proven_requests::find(const crash_key& key) const
{
    const auto younger = m_younger.find(key);
    if (younger != m_younger.end())
        return &younger->second;
    const auto older = m_older.find(key);
    return older != m_older.end() ? &older->second : nullptr;
}

bool proven_requests::contains(const crash_key& key, time_point now) const
{
    const proof* found = find(key);
    return found != nullptr && found->losses < lossesToVoid && now < found->completedAt + memory;
}

void proven_requests::add(const crash_key& key, time_point now)
{
    const auto known = m_younger.find(key);
    if (known != m_younger.end()) {
        known->second = { now, 0 };
        return;
    }
    if (m_younger.size() >= generationSize) {
        m_older = std::move(m_younger);
        m_younger.clear();
    }
    m_younger.emplace(key, proof { now, 0 });
}

bool proven_requests::countLoss(const crash_key& key, time_point now)
{
    if (!contains(key, now))
        return true;
    proof changed = *find(key);
    ++changed.losses;
    add(key, now);
    m_younger[key] = changed;
    return changed.losses >= lossesToVoid;
}

} // namespace plantainlatch
