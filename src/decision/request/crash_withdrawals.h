#pragma once

/** \file
 * Withdraws the replicated record of crashes of a request when an equal one completes.
 *
 * Completions of popular requests come to all entries at about the same time. Each entry proposes one withdrawal after
 * a random delay, and only if no other entry's was applied meanwhile.
 */

#include <memory>
#include <set>

#include "kernel/hooks.h"
#include "model/control_snapshot.h"
#include "ports/consensus_port.h"
#include "ports/control_port.h"

namespace plantainlatch {

/** Proposes withdrawals for one entry, one at a time for each fingerprint. */
class crash_withdrawals {
public:
    /** The maximum delay for each entry of the system, and in total. */
    static constexpr duration delayPerEntry = std::chrono::milliseconds(10);
    static constexpr duration maximumDelay = std::chrono::milliseconds(500);
    static constexpr duration proposalTimeout = std::chrono::seconds(2);

    static std::unique_ptr<crash_withdrawals> create(
        const kernel_hooks& hooks, consensus_port& consensus, control_port& control);
    ~crash_withdrawals();
    crash_withdrawals(const crash_withdrawals&) = delete;
    crash_withdrawals& operator=(const crash_withdrawals&) = delete;

    /** A request with this fingerprint completed. `liftsRefusal` tells that equal ones of its caller are refused now;
     * such refusals are lifted without a trial only a few times. */
    void onCompletion(const crash_key& key, bool liftsRefusal);
    /** A trial completed: other entries have no completions of equal requests, so there is no delay. */
    void onCompletedTrial(const crash_key& key, bool liftsRefusal);

private:
    crash_withdrawals(const kernel_hooks& hooks, consensus_port& consensus, control_port& control);

    /** The record of the fingerprint if it has crashes; null otherwise. */
    const crash_record* recordOf(const crash_key& key) const;
    void propose(const crash_key& key, bool liftsRefusal);
    duration randomDelay() const;

    const kernel_hooks& m_hooks;
    consensus_port& m_consensus;
    control_port& m_control;
    std::set<crash_key> m_inProgress;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace plantainlatch
