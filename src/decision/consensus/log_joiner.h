#pragma once

/** \file
 * How a log begins, and how a VM without a leader finds one.
 */

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "decision/consensus/log_leader.h"
#include "decision/consensus/replica.h"

namespace plantainlatch {

/** Begins a new log when all replicas of the settings are blank, and asks for the log when none arrives.
 *
 * The replica with the lowest name asks all others. Each blank one answers with its identity and a pledge: it will take
 * a first entry only under the last pledge it gave. With all pledges at hand the asker writes the first entry, the set
 * of voters, under term 1, which no election uses. From then on any replica that has the entry hands it to blank ones,
 * again under fresh pledges. An asker that loses its disk meanwhile collects new pledges, which void the old ones, so
 * no two first entries can both be taken. */
class log_joiner {
public:
    log_joiner(replica& self, log_leader& leader);

    void start();
    /** Replaces the VMs of the settings among those that are asked for the log. */
    void setSeeds(std::vector<vm_id> seeds) { m_seeds = std::move(seeds); }
    void onTick();
    void onJoinRequest(const vm_id& from, const join_request& request);
    void onJoinAnswer(const vm_id& from, const join_answer& answer);
    /** Whether a message carries the first entry of a new log. */
    static bool isFirstEntry(const append_request& request);
    void onFirstEntry(const append_request& request);

private:
    struct pledge_record {
        replica_id by;
        std::uint64_t pledge = 0;
    };

    bool decides() const;
    bool holdsFirstEntryOnly() const;
    /** The seeds of the settings and the voters as last known. */
    std::vector<vm_id> vmsToAsk() const;
    void ask(const vm_id& vm);
    void askAll(const std::vector<vm_id>& vms);
    void beginWhenAllBlank();
    void handOutFirstEntry(const vm_id& to, const join_answer& answer);

    replica& m_replica;
    log_leader& m_leader;
    /** The other replicas of the settings. */
    std::vector<vm_id> m_others;
    std::vector<vm_id> m_seeds;
    time_point m_nextAsk {};
    std::size_t m_nextVm = 0;
    std::map<vm_id, pledge_record> m_pledges;
    /** The pledge that this blank replica gave last; 0 for none. */
    std::uint64_t m_ownPledge = 0;
};

} // namespace plantainlatch
