#pragma once

/** \file
 * The leader's side of log replication: heartbeat rounds, replication, commitment and the leader lease.
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

/** How far the followers are, and what was sent to them since this VM started. Sizes are approximate. */
struct replication_statistics {
    std::uint64_t followers = 0;
    /** Followers that answer, but have not acknowledged an entry for a second or more, and the longest such time. */
    std::uint64_t followersBehind = 0;
    duration longestLag {};
    std::uint64_t sentBytes = 0;
    std::uint64_t resentBytes = 0;
    std::uint64_t snapshotsSent = 0;
};

/** Replicates the log while this VM is the leader. It sends to each follower directly, without relays, and therefore
 * accepts at most consensus_options::maximumFollowerCount followers. */
class log_leader {
public:
    explicit log_leader(replica& self);
    ~log_leader();
    log_leader(const log_leader&) = delete;
    log_leader& operator=(const log_leader&) = delete;

    /** Takes over as leader after this replica has won an election. */
    void startTerm();
    void onTick();
    void onAppendAnswer(const vm_id& from, const append_answer& answer);
    /** Starts replicating to a VM; does nothing if it is a follower already or there are too many followers. */
    void addFollower(const vm_id& vm);

    /** Appends a proposal to the log unless it is already there and not yet applied. A proposal that was applied
     * earlier is appended again; the control state detects the duplicate. Returns false if this VM is not the leader,
     * is transferring leadership, or has too many proposals or bytes in progress. */
    bool submit(const proposal_id& id, const control_command& command);
    void onApplied(const proposal_id& id) { m_unapplied.erase(id); }

    /** Voters that have not answered for consensus_options::replaceVoterAfter, the first to be replaced first. */
    std::vector<replica_id> silentVoters() const;

    /** Stops accepting proposals and waits for a voter to be up to date; then asks it to start an election and steps
     * down. */
    void startTransfer() { m_transferring = true; }

    /** The start of the lease: the latest time such that a majority of the voters answered a round that began then or
     * later. Valid only while this VM leads. */
    time_point leaseStart() const;
    /** Whether the lease is valid, so that no other leader can have been elected. */
    bool holdsLease() const;
    /** Whether the first entry of the current term is applied, and therefore all entries that earlier leaders
     * committed.
     */
    bool hasAppliedOwnTerm() const { return m_replica.applied() >= m_firstOfTerm; }

    std::vector<std::pair<vm_id, log_index>> followerAppliedIndices() const;
    replication_statistics statistics() const;

private:
    /** Entries of one message, and their approximate encoded size. */
    struct entry_batch {
        std::vector<log_entry> entries;
        std::uint64_t bytes = 0;
    };

    /** Adds the VMs of the control state as followers. */
    void addKnownVms();
    /** Does so again when the entries of earlier terms are applied: after a restart of all VMs, the state of a new
     * leader does not contain them before. */
    void addVmsOnceApplied();
    bool leads() const { return m_replica.role() == replica_role::Leader; }
    void stepDown(const char* why);
    void beginRound();
    time_point roundStart(std::uint64_t round) const;
    void scheduleFlush();
    void appendVoters(voter_set next);
    void appendBuffered();
    void clearBuffered();
    /** The approximate size in bytes of the proposals that are not applied yet. */
    std::uint64_t unappliedBytes() const;
    std::uint64_t currentRound() const { return m_firstRound + m_rounds.size() - 1; }
    bool countsAsSnapshotInFlight(const follower_progress& progress) const;
    bool isResponsive(const follower_progress& progress) const;
    void flush();
    void sendEntries(const vm_id& to, follower_progress& progress);
    /** Whether the limits on unacknowledged entries allow sending the next one. */
    bool hasRoomInWindow(const follower_progress& progress) const;
    void sendHeartbeat(const vm_id& to, const follower_progress& progress);
    void sendAppend(const vm_id& to, log_index previous, std::vector<log_entry> entries);
    /** Sends a snapshot unless one is on its way to the follower or too many to others are; the follower's answer to
     * the next heartbeat tries again. */
    void sendSnapshot(const vm_id& to, follower_progress& progress);
    entry_batch batchFrom(log_index first) const;
    void recordSent(follower_progress& progress, const entry_batch& batch);
    /** Ends the sample of a follower's lag once its entry is acknowledged, and logs it if it was long. */
    void endLag(const vm_id& follower, follower_progress& progress);
    void identifyFollower(follower_progress& progress, const append_answer& answer);
    void updateMatch(follower_progress& progress, const append_answer& answer);
    /** Goes back to the entries that the follower misses, if the answer shows that they will not arrive. */
    void goBack(follower_progress& progress, const append_answer& answer);
    void advanceCommitIndex();
    void changeVoters();
    void tryTransfer();

    replica& m_replica;
    std::map<vm_id, follower_progress> m_followers;
    /** The start times of recent rounds; the first one has the number m_firstRound. */
    std::deque<time_point> m_rounds;
    std::uint64_t m_firstRound = 1;
    time_point m_nextRound {};
    time_point m_electedAt {};
    log_index m_firstOfTerm;
    /** Accepted proposals that are not applied yet. */
    std::set<proposal_id> m_unapplied;
    /** Proposals that wait for the next flush, which writes and sends them as one batch. */
    std::vector<proposal> m_buffered;
    /** The approximate size of m_buffered in bytes. */
    std::uint64_t m_bufferedBytes = 0;
    timer_id m_flush;
    std::uint64_t m_sentBytes = 0;
    std::uint64_t m_resentBytes = 0;
    std::uint64_t m_snapshotsSent = 0;
    bool m_hasAddedVms = false;
    bool m_transferring = false;
};

} // namespace plantainlatch
