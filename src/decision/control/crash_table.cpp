#include "decision/control/crash_table.h"

#include <algorithm>

namespace plantainlatch {

namespace {

    using crash_map = std::map<crash_key, crash_record>;

    bool isRetained(const crash_record& record, wall_time now)
    {
        return now < record.lastSeen + std::chrono::ceil<std::chrono::milliseconds>(crashRetention);
    }

    void eraseExpired(crash_map& crashes, wall_time now)
    {
        std::erase_if(crashes, [now](const auto& item) { return !isRetained(item.second, now); });
    }

    void evictOldest(crash_map& crashes)
    {
        const auto oldest = std::min_element(crashes.begin(), crashes.end(),
            [](const auto& left, const auto& right) { return left.second.lastSeen < right.second.lastSeen; });
        crashes.erase(oldest);
    }

} // namespace

command_result applyCrashReport(
    std::map<crash_key, crash_record>& crashes, const proposal& reported, const report_crash& command)
{
    const crash_key key { command.service, command.fingerprint };
    eraseExpired(crashes, reported.proposedAt);
    if (!crashes.contains(key) && crashes.size() >= maximumCrashRecords)
        evictOldest(crashes);
    crash_record& record = crashes[key];
    record.lastSeen = std::max(record.lastSeen, reported.proposedAt);
    if (record.upstreams.size() < maximumCrashedUpstreams)
        record.upstreams.insert({ command.upstream, command.generation });
    command_result result;
    result.crashedUpstreams = record.crashes();
    return result;
}

bool isBlockedByCrashes(const control_snapshot& state, const crash_key& key, wall_time now, std::size_t limit)
{
    const auto position = state.crashes.find(key);
    if (position == state.crashes.end())
        return false;
    return position->second.crashes() >= limit && isRetained(position->second, now);
}

} // namespace plantainlatch
