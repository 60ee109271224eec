#pragma once

/** \file
 * One VM's copy of the replicated log: term, vote, entries, durable state, and the application of committed entries.
 */

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "decision/consensus/consensus_options.h"
#include "decision/consensus/durable_writes.h"
#include "decision/consensus/log_store.h"
#include "decision/peers/peer_router.h"
#include "kernel/hooks.h"
#include "model/vm_settings.h"
#include "ports/control_port.h"
#include "ports/storage_port.h"

namespace plantainlatch {

enum class replica_role { Follower, PreCandidate, Candidate, Leader };

/** The state that election, leader, follower and the other parts of the consensus service share on one VM. */
class replica {
public:
    /** The services that a replica uses; `storage` is null on a VM without a disk. */
    struct dependencies {
        peer_router* peers = nullptr;
        control_port* control = nullptr;
        storage_port* storage = nullptr;
    };

    /** Called for each applied proposal. */
    using applied_listener = std::function<void(const proposal&, const command_result&)>;

    replica(kernel_hooks hooks, vm_settings settings, consensus_options options);

    /** Restores the durable state. Returns DataLoss for a damaged disk and InvalidArgument for the disk of another
     * VM. */
    absl::Status load(dependencies services);

    /** While the disk is failed, tries at intervals to rewrite it. */
    void onTick();

    const kernel_hooks& hooks() const { return m_hooks; }
    const vm_settings& settings() const { return m_settings; }
    const consensus_options& options() const { return m_options; }
    const consensus_mechanisms& mechanisms() const { return m_options.mechanisms; }

    const replica_id& self() const { return m_self; }
    const vm_id& vm() const { return m_settings.self.id; }
    log_term term() const { return m_term; }
    const replica_id& votedFor() const { return m_votedFor; }
    const log_store& log() const { return m_log; }
    log_index committed() const { return m_committed; }
    log_index applied() const { return m_applied; }
    /** Whether this VM has a working disk; without one it is a learner. */
    bool hasDisk() const { return m_dependencies.storage != nullptr && !m_failed; }
    bool blank() const { return m_log.empty(); }
    /** Whether this replica may vote. A blank disk may have lost a vote or acknowledged entries, so its replica does
     * not vote until it has a log again. */
    bool mayVote() const { return hasDisk() && (!blank() || !mechanisms().newIdentityOnBlankDisk); }
    bool isVoter() const { return m_log.voters().voters.contains(m_self); }

    replica_role role() const { return m_role; }
    void setRole(replica_role role) { m_role = role; }
    /** The leader of this term; empty if not known. */
    const replica_id& leader() const { return m_leader; }
    /** Records contact with the leader of this term, at the current time. */
    void noteLeaderContact(const replica_id& leader);
    /** Makes this replica the leader of its term. */
    void becomeLeader();
    void clearLeader() { m_leader = replica_id {}; }
    time_point lastLeaderContact() const { return m_lastLeaderContact; }

    /** Enters a later term as a follower that has not voted. */
    void adoptTerm(log_term term);
    /** Records this term's vote; it must not be sent before it is durable. */
    void castVote(const replica_id& candidate);

    /** Appends entries to the log and starts writing them to disk. */
    void append(std::vector<log_entry> entries);
    /** Removes uncommitted entries from `index` on, which conflict with the leader's log. */
    void truncateFrom(log_index index);
    /** Replaces the state by a snapshot, whose index must be above applied(). Later entries are kept if the log matches
     * the snapshot. */
    void installSnapshot(const log_snapshot& snapshot);
    /** Commits and applies entries up to `index`. */
    void commitTo(log_index index);

    /** Runs `action` once all writes so far are durable; immediately on a VM without a disk. */
    void whenDurable(std::function<void()> action);
    log_index durableIndex() const;
    bool writesIdle() const { return m_writes.idle(); }

    const control_snapshot& state() const { return m_dependencies.control->state(); }
    /** A snapshot of the state at applied(). */
    log_snapshot snapshot() const;

    void send(const vm_id& to, consensus_message message);
    void report(log_level level, std::string what, std::vector<log_field> fields = {}) const;

    void setAppliedListener(applied_listener listener) { m_onApplied = std::move(listener); }
    /** Sets the callback for a failed disk write; the replica has stopped voting when it is called. */
    void setFailureListener(std::function<void()> listener) { m_onFailure = std::move(listener); }

private:
    using storage_callback = std::function<void(const absl::Status&)>;

    absl::Status restore(recovered_state found);
    void assignNewIdentity();
    void write(storage_write content, log_index lastIndex);
    void writeState();
    hard_state hardState() const { return { m_self, m_term, m_votedFor }; }
    /** Wraps a callback for the storage, which may call it after this object was destroyed. */
    storage_callback whileAlive(storage_callback action) const;
    void finishWrite(std::uint64_t number, const absl::Status& status);
    void fail(const absl::Status& status);
    /** Writes everything that this replica holds in memory to the failed disk, and takes part as a voter again; its
     * answers wait until the write is durable. */
    void rewriteDisk();
    void finishRewrite(std::uint64_t number, const absl::Status& status);
    void applyEntry(const log_entry& entry);
    bool shouldCompact() const;
    void compact();
    /** The last index that is removed from memory once the entries up to applied() are in a snapshot. */
    log_index lastIndexToRemove() const;

    kernel_hooks m_hooks;
    vm_settings m_settings;
    consensus_options m_options;
    dependencies m_dependencies;

    replica_id m_self;
    log_term m_term;
    replica_id m_votedFor;
    replica_role m_role = replica_role::Follower;
    replica_id m_leader;
    time_point m_lastLeaderContact {};

    log_store m_log;
    durable_writes m_writes;
    log_index m_committed;
    log_index m_applied;
    log_index m_snapshotIndex;
    /** The approximate encoded size of the state in the last snapshot that this process made, in bytes; 0 before. */
    std::uint64_t m_snapshotBytes = 0;
    bool m_applying = false;
    /** A write to the disk failed, and the disk was not rewritten since. */
    bool m_failed = false;
    /** A rewrite was begun and has not ended yet. */
    bool m_isRewriting = false;
    time_point m_nextRewriteAt {};
    /** The identity under which this replica voted before its disk failed. */
    replica_id m_selfOnDisk;

    applied_listener m_onApplied;
    std::function<void()> m_onFailure;
    /** Lets storage callbacks detect that this object was destroyed. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace plantainlatch
