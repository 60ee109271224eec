#include "decision/request/known_good_requests.h"

#include <utility>

namespace plantainlatch {

const known_good_requests::completion_record* known_good_requests::find(const crash_key& key) const
{
    const auto younger = m_younger.find(key);
    if (younger != m_younger.end())
        return &younger->second;
    const auto older = m_older.find(key);
    return older != m_older.end() ? &older->second : nullptr;
}

bool known_good_requests::contains(const crash_key& key, time_point now) const
{
    const completion_record* found = find(key);
    return found != nullptr && found->losses < lossesToForget && now < found->completedAt + retention;
}

void known_good_requests::add(const crash_key& key, time_point now)
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
    m_younger.emplace(key, completion_record { now, 0 });
}

void known_good_requests::remove(const crash_key& key)
{
    m_younger.erase(key);
    m_older.erase(key);
}

bool known_good_requests::countLoss(const crash_key& key, time_point now)
{
    if (!contains(key, now))
        return true;
    completion_record changed = *find(key);
    ++changed.losses;
    add(key, now);
    m_younger[key] = changed;
    return changed.losses >= lossesToForget;
}

} // namespace plantainlatch
