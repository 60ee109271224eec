#include "decision/control/crash_table.h"

#include <algorithm>

#include "decision/control/command_results.h"

namespace plantainlatch {

namespace {

    using crash_map = std::map<crash_key, crash_record>;

    /** Enough to reach the maximum delay. */
    constexpr std::uint64_t maximumDoublings = 8;

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

    /** Returns the number of crashes in the record. */
    std::size_t countCrash(
        crash_map& crashes, const crash_key& key, const crashed_upstream& upstream, wall_time proposedAt)
    {
        if (!crashes.contains(key) && crashes.size() >= maximumCrashRecords)
            evictOldest(crashes);
        crash_record& record = crashes[key];
        record.lastSeen = std::max(record.lastSeen, proposedAt);
        if (record.upstreams.size() < maximumCrashedUpstreams)
            record.upstreams.insert(upstream);
        return record.crashes();
    }

} // namespace

bool isRetained(const crash_record& record, wall_time now)
{
    return now < record.lastSeen + std::chrono::ceil<std::chrono::milliseconds>(crashRetention);
}

command_result applyCrashReport(crash_map& crashes, const proposal& reported, const report_crash& command)
{
    const crashed_upstream upstream { command.upstream, command.generation };
    eraseExpired(crashes, reported.proposedAt);
    command_result result;
    result.crashedUpstreams
        = countCrash(crashes, { command.service, command.fingerprint }, upstream, reported.proposedAt);
    if (command.otherFingerprint) {
        result.otherCrashedUpstreams
            = countCrash(crashes, { command.service, *command.otherFingerprint }, upstream, reported.proposedAt);
    }
    return result;
}

command_result applyCrashWithdrawal(crash_map& crashes, const withdraw_crashes& command)
{
    const auto found = crashes.find(command.request);
    if (found == crashes.end())
        return accepted();
    crash_record rest;
    rest.lastSeen = found->second.lastSeen;
    rest.liftedRefusals = found->second.liftedRefusals + (command.liftsRefusal ? 1 : 0);
    if (rest.liftedRefusals > 0)
        found->second = rest;
    else
        crashes.erase(found);
    return accepted();
}

command_result applyCrashTrial(crash_map& crashes, const begin_crash_trial& command)
{
    const auto found = crashes.find(command.request);
    if (found == crashes.end() || found->second.trials != command.trials)
        return refused("another trial has begun, or the record is gone");
    ++found->second.trials;
    return accepted();
}

command_result applyDiscardedTrial(crash_map& crashes, const discard_crash_trial& command)
{
    const auto found = crashes.find(command.request);
    if (found != crashes.end() && found->second.unjudgedTrials < found->second.trials)
        ++found->second.unjudgedTrials;
    return accepted();
}

std::optional<duration> trialDelay(const crash_record& record)
{
    const std::uint64_t judged = record.trials - std::min(record.unjudgedTrials, record.trials);
    if (judged >= maximumJudgedTrials)
        return std::nullopt;
    const std::uint64_t doublings = std::min(judged + record.liftedRefusals, maximumDoublings);
    return std::min(maximumTrialDelay, firstTrialDelay * (1U << doublings));
}

} // namespace plantainlatch
