#include "decision/request/crash_trials.h"

#include <algorithm>
#include <utility>

#include "decision/control/crash_table.h"

namespace plantainlatch {

std::unique_ptr<crash_trials> crash_trials::create(
    const kernel_hooks& hooks, consensus_port& consensus, control_port& control, duration proposalTimeout)
{
    return std::unique_ptr<crash_trials>(new crash_trials(hooks, consensus, control, proposalTimeout));
}

crash_trials::crash_trials(
    const kernel_hooks& hooks, consensus_port& consensus, control_port& control, duration proposalTimeout)
    : m_hooks(hooks)
    , m_consensus(consensus)
    , m_control(control)
    , m_proposalTimeout(proposalTimeout)
{
}

crash_trials::~crash_trials() { *m_alive = false; }

crash_trials::watched_record& crash_trials::watch(const crash_key& key, const crash_record& record)
{
    const auto found = m_watched.find(key);
    if (found == m_watched.end() && m_watched.size() >= maximumWatched) {
        m_watched.erase(std::min_element(m_watched.begin(), m_watched.end(),
            [](const auto& left, const auto& right) { return left.second.since < right.second.since; }));
    }
    watched_record& item = m_watched[key];
    const bool isUnchanged
        = found != m_watched.end() && item.crashes == record.crashes() && item.trials == record.trials;
    if (!isUnchanged)
        item = { record.crashes(), record.trials, m_hooks.now(), item.isPending };
    return item;
}

std::optional<duration> crash_trials::timeUntilTrial(const crash_key& key, const crash_record& record)
{
    const std::optional<duration> delay = trialDelay(record);
    if (!delay)
        return std::nullopt;
    const watched_record& item = watch(key, record);
    if (item.isPending)
        return *delay;
    return std::max(duration::zero(), item.since + *delay - m_hooks.now());
}

void crash_trials::begin(const crash_key& key, std::function<void(bool)> done)
{
    const auto record = m_control.state().crashes.find(key);
    if (record == m_control.state().crashes.end()) {
        done(false);
        return;
    }
    watch(key, record->second).isPending = true;
    m_consensus.propose(begin_crash_trial { key, record->second.trials }, m_proposalTimeout,
        [this, alive = m_alive, key, done = std::move(done)](const absl::StatusOr<command_result>& result) {
            if (!*alive)
                return;
            if (const auto watched = m_watched.find(key); watched != m_watched.end()) {
                watched->second.isPending = false;
                watched->second.since = m_hooks.now();
            }
            done(result.ok() && result->verdict == command_verdict::Accepted);
        });
}

void crash_trials::discard(const crash_key& key)
{
    m_consensus.propose(discard_crash_trial { key }, m_proposalTimeout, [](const absl::StatusOr<command_result>&) {});
}

} // namespace plantainlatch
