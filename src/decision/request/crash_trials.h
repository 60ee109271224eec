#pragma once

/** \file
 * Decides when a request may run as a trial although equal ones are refused, so that the system learns whether they
 * still crash upstreams.
 *
 * The replicated table allows one trial at a time, whichever entries ask for it. Each entry measures the delays between
 * trials on its own monotonic clock, since the wall clocks of VMs may jump.
 */

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "kernel/hooks.h"
#include "model/control_snapshot.h"
#include "ports/consensus_port.h"
#include "ports/control_port.h"

namespace plantainlatch {

/** Starts trials for one entry. */
class crash_trials {
public:
    /** The maximum number of fingerprints whose delays are measured at the same time. */
    static constexpr std::size_t maximumWatched = 256;

    /** `proposalTimeout` is how long a request waits for the permission. */
    static std::unique_ptr<crash_trials> create(
        const kernel_hooks& hooks, consensus_port& consensus, control_port& control, duration proposalTimeout);
    ~crash_trials();
    crash_trials(const crash_trials&) = delete;
    crash_trials& operator=(const crash_trials&) = delete;

    /** The time until a trial may begin; empty if the record allows no further one. The delay begins with the first
     * call after the record has changed. */
    std::optional<duration> timeUntilTrial(const crash_key& key, const crash_record& record);

    /** Asks for permission for a trial; `done` is called once. */
    void begin(const crash_key& key, std::function<void(bool permitted)> done);

    /** Reports that a permitted trial showed nothing. */
    void discard(const crash_key& key);

private:
    /** When the delay began, and the state of the record for which it holds. */
    struct watched_record {
        std::size_t crashes = 0;
        std::uint64_t trials = 0;
        time_point since;
        bool isPending = false;
    };

    crash_trials(const kernel_hooks& hooks, consensus_port& consensus, control_port& control, duration proposalTimeout);

    watched_record& watch(const crash_key& key, const crash_record& record);

    const kernel_hooks& m_hooks;
    consensus_port& m_consensus;
    control_port& m_control;
    duration m_proposalTimeout;
    std::map<crash_key, watched_record> m_watched;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace plantainlatch
