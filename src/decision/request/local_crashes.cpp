#include "decision/request/local_crashes.h"

#include <algorithm>

#include "decision/control/crash_table.h"

namespace plantainlatch {

void local_crashes::makeRoom()
{
    if (m_records.size() < maximumFingerprints)
        return;
    m_records.erase(std::min_element(m_records.begin(), m_records.end(),
        [](const auto& left, const auto& right) { return left.second.expiresAt < right.second.expiresAt; }));
}

void local_crashes::add(const crash_key& key, const crashed_upstream& upstream, time_point now)
{
    if (findRecord(key, now) == nullptr)
        m_records.erase(key);
    if (!m_records.contains(key))
        makeRoom();
    record& item = m_records[key];
    item.expiresAt = now + crashRetention;
    if (item.upstreams.size() >= maximumCrashedUpstreams)
        return;
    item.upstreams.insert(upstream);
    item.unaccepted.insert(upstream);
}

void local_crashes::accept(const crash_key& key, const crashed_upstream& upstream, bool refusesEqual, time_point now)
{
    const auto found = m_records.find(key);
    if (found == m_records.end())
        return;
    record& item = found->second;
    item.unaccepted.erase(upstream);
    item.refusesEqual = item.refusesEqual || refusesEqual;
    if (item.unaccepted.empty())
        item.expiresAt = now + acceptedRetention;
}

void local_crashes::eraseShownIn(const std::map<crash_key, crash_record>& table)
{
    std::erase_if(m_records, [&table](const auto& item) {
        const auto shown = table.find(item.first);
        return shown != table.end()
            && std::includes(shown->second.upstreams.begin(), shown->second.upstreams.end(),
                item.second.upstreams.begin(), item.second.upstreams.end());
    });
}

const local_crashes::record* local_crashes::findRecord(const crash_key& key, time_point now) const
{
    const auto found = m_records.find(key);
    return found != m_records.end() && now < found->second.expiresAt ? &found->second : nullptr;
}

const std::set<crashed_upstream>* local_crashes::find(const crash_key& key, time_point now) const
{
    const record* item = findRecord(key, now);
    return item != nullptr ? &item->upstreams : nullptr;
}

bool local_crashes::refuses(const crash_key& key, time_point now) const
{
    const record* item = findRecord(key, now);
    return item != nullptr && item->refusesEqual;
}

std::optional<crashed_upstream> local_crashes::firstUnaccepted(const crash_key& key) const
{
    const auto found = m_records.find(key);
    if (found == m_records.end() || found->second.unaccepted.empty())
        return std::nullopt;
    return *found->second.unaccepted.begin();
}

} // namespace plantainlatch
