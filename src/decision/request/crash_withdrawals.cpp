#include "decision/request/crash_withdrawals.h"

#include <algorithm>

#include "decision/control/crash_table.h"
#include "decision/entries/known_entries.h"

namespace plantainlatch {

std::unique_ptr<crash_withdrawals> crash_withdrawals::create(
    const kernel_hooks& hooks, consensus_port& consensus, control_port& control)
{
    return std::unique_ptr<crash_withdrawals>(new crash_withdrawals(hooks, consensus, control));
}

crash_withdrawals::crash_withdrawals(const kernel_hooks& hooks, consensus_port& consensus, control_port& control)
    : m_hooks(hooks)
    , m_consensus(consensus)
    , m_control(control)
{
}

crash_withdrawals::~crash_withdrawals() { *m_alive = false; }

const crash_record* crash_withdrawals::recordOf(const crash_key& key) const
{
    const auto& records = m_control.state().crashes;
    const auto found = records.find(key);
    return found != records.end() && found->second.crashes() > 0 ? &found->second : nullptr;
}

void crash_withdrawals::onCompletion(const crash_key& key, bool liftsRefusal)
{
    const crash_record* record = recordOf(key);
    const bool needsTrial = record != nullptr && liftsRefusal && record->liftedRefusals >= refusalsLiftedWithoutTrial;
    if (record == nullptr || needsTrial || !m_inProgress.insert(key).second)
        return;
    m_hooks.schedule(randomDelay(), [this, alive = m_alive, key, liftsRefusal] {
        if (*alive)
            propose(key, liftsRefusal);
    });
}

void crash_withdrawals::onCompletedTrial(const crash_key& key, bool liftsRefusal)
{
    if (recordOf(key) != nullptr && m_inProgress.insert(key).second)
        propose(key, liftsRefusal);
}

duration crash_withdrawals::randomDelay() const
{
    const auto entries = static_cast<std::int64_t>(knownEntries(m_control.state()).size());
    const duration limit = std::min(delayPerEntry * entries, maximumDelay);
    return limit > duration::zero() ? duration(m_hooks.random() % limit.count()) : limit;
}

void crash_withdrawals::propose(const crash_key& key, bool liftsRefusal)
{
    if (recordOf(key) == nullptr) {
        m_inProgress.erase(key);
        return;
    }
    m_consensus.propose(withdraw_crashes { key, liftsRefusal }, proposalTimeout,
        [this, alive = m_alive, key](const absl::StatusOr<command_result>&) {
            if (*alive)
                m_inProgress.erase(key);
        });
}

} // namespace plantainlatch
