#pragma once

/** \file
 * The leader's part of the replicated log: rounds of heartbeats, replication, commitment and the lease.
 */

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "decision/consensus/follower_progress.h"
#include "decision/consensus/replica.h"

namespace plantainlatch {

/** What this VM does while it leads. It sends to each VM directly; a relay for each region takes over beyond
 * consensus_options::largestFollowerCount. */
class log_leader {
public:
    explicit log_leader(replica& self);
    ~log_leader();
    log_leader(const log_leader&) = delete;
    log_leader& operator=(const log_leader&) = delete;

    /** This replica won its term. */
    void begin();
    void onTick();
    void onAppendAnswer(const vm_id& from, const append_answer& answer);
    /** A VM that is not in the settings wants the log. */
    void addFollower(const vm_id& vm);

    /** Takes a proposal into the log, unless it is there and not yet applied; the control state tells one that was
     * applied before. False when this VM does not lead or has no room. */
    bool submit(const proposal_id& id, const control_command& command);
    /** A proposal was applied. */
    void onApplied(const proposal_id& id) { m_uncommitted.erase(id); }

    /** Voters that were not heard of for so long that another replica may take their place. */
    std::set<replica_id> silentVoters() const;

    /** Stops taking proposals, brings a voter up to date, asks it to take over, and steps down. */
    void transfer() { m_transferring = true; }

    /** When a majority of the voters had surely heard this leader; only while it leads. */
    time_point leaseBasis() const;
    /** The lease holds: no other leader can have been elected. */
    bool holdsLease() const;
    /** The state here has all that earlier leaders committed. */
    bool ownsTerm() const { return m_replica.applied() >= m_firstOfTerm; }

    std::vector<std::pair<vm_id, log_index>> followerAppliedIndices() const;

private:
    bool leads() const { return m_replica.role() == replica_role::Leader; }
    void stepDown(const char* why);
    void beginRound();
    time_point roundBegan(std::uint64_t round) const;
    void scheduleFlush();
    void appendVoters(voter_set next);
    void appendUnwritten();
    bool isRecent(const follower_progress& progress) const;
    void flush();
    void sendEntries(const vm_id& to, follower_progress& progress);
    void sendHeartbeat(const vm_id& to, const follower_progress& progress);
    void sendAppend(const vm_id& to, log_index previous, std::vector<log_entry> entries);
    void sendSnapshot(const vm_id& to, follower_progress& progress);
    std::vector<log_entry> batchFrom(log_index first) const;
    void retransmitLate();
    void recognise(follower_progress& progress, const append_answer& answer);
    void takeMatch(follower_progress& progress, const append_answer& answer);
    void commitMatched();
    void changeVoters();
    void handOver();

    replica& m_replica;
    std::map<vm_id, follower_progress> m_followers;
    /** When recent rounds began; the first is number m_firstRound. */
    std::deque<time_point> m_rounds;
    std::uint64_t m_firstRound = 1;
    time_point m_nextRound {};
    time_point m_elected {};
    log_index m_firstOfTerm;
    /** Proposals in the log that are not applied yet. */
    std::set<proposal_id> m_uncommitted;
    /** Proposals that wait for the flush, so that those of one moment are written and sent together. */
    std::vector<proposal> m_unwritten;
    timer_id m_flush;
    bool m_transferring = false;
};

} // namespace plantainlatch
