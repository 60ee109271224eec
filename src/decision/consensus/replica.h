#pragma once

/** \file
 * One VM's copy of the replicated log: its term, vote, entries and disk, and the application of what is committed.
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

/** What the parts of the replicated log share on one VM. */
class replica {
public:
    /** What a replica needs of other services; `storage` is null on a VM without a disk. */
    struct links {
        peer_router* peers = nullptr;
        control_port* control = nullptr;
        storage_port* storage = nullptr;
    };

    /** Called for each applied proposal, with its result. */
    using applied_listener = std::function<void(const proposal&, const command_result&)>;

    replica(kernel_hooks hooks, vm_settings settings, consensus_options options);

    /** Reads what the disk has; DataLoss for damage, InvalidArgument for the disk of another VM. */
    absl::Status load(links found);

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
    /** A working disk; without one a VM only follows. */
    bool hasDisk() const { return m_links.storage != nullptr && !m_failed; }
    bool failed() const { return m_failed; }
    bool blank() const { return m_log.empty(); }
    /** A blank disk may have lost a vote or a match, so it has no vote until it has a log again. */
    bool mayVote() const { return hasDisk() && (!blank() || !mechanisms().newIdentityOnBlankDisk); }
    bool isVoter() const { return m_log.voters().voters.contains(m_self); }

    replica_role role() const { return m_role; }
    void setRole(replica_role role) { m_role = role; }
    /** The leader of this term as far as it is known; empty otherwise. */
    const replica_id& leader() const { return m_leader; }
    /** Notes that the leader of this term was heard now. */
    void hearLeader(const replica_id& leader);
    /** This replica was elected for its term. */
    void lead();
    void forgetLeader() { m_leader = replica_id {}; }
    time_point leaderHeard() const { return m_leaderHeard; }

    /** Moves on to a later term, as a follower without a vote given. */
    void adoptTerm(log_term term);
    /** Gives this term's vote; it counts only once it is durable. */
    void vote(const replica_id& candidate);

    /** Adds entries to the log and writes them. */
    void append(std::vector<log_entry> entries);
    /** Drops uncommitted entries that a leader's log contradicts. */
    void truncateFrom(log_index index);
    /** Replaces the log and the state by a snapshot that is ahead of what is committed here. */
    void install(const log_snapshot& snapshot);
    /** Commits and applies entries up to `index`. */
    void commitTo(log_index index);

    /** Runs `action` once all writes so far are on disk; at once on a VM without one. */
    void whenDurable(std::function<void()> action);
    log_index durableIndex() const;
    bool writesIdle() const { return m_writes.idle(); }

    const control_snapshot& state() const { return m_links.control->state(); }
    /** The whole state as applied here. */
    log_snapshot snapshot() const;

    void send(const vm_id& to, consensus_message message);
    void report(log_level level, std::string what, std::vector<log_field> fields = {}) const;

    /** Sets who hears of applied proposals. */
    void setAppliedListener(applied_listener listener) { m_onApplied = std::move(listener); }
    /** Sets who hears that the disk failed; the replica has stopped voting then. */
    void setFailureListener(std::function<void()> listener) { m_onFailure = std::move(listener); }

private:
    absl::Status restore(recovered_state found);
    void beginWithNewDisk();
    void write(storage_write content, log_index lastIndex);
    void writeState();
    hard_state hardState() const { return { m_self, m_term, m_votedFor }; }
    void finishWrite(std::uint64_t number, const absl::Status& status);
    void fail(const absl::Status& status);
    void applyEntry(const log_entry& entry);
    void compact();

    kernel_hooks m_hooks;
    vm_settings m_settings;
    consensus_options m_options;
    links m_links;

    replica_id m_self;
    log_term m_term;
    replica_id m_votedFor;
    replica_role m_role = replica_role::Follower;
    replica_id m_leader;
    time_point m_leaderHeard {};

    log_store m_log;
    durable_writes m_writes;
    log_index m_committed;
    log_index m_applied;
    log_index m_snapshotIndex;
    bool m_applying = false;
    bool m_failed = false;

    applied_listener m_onApplied;
    std::function<void()> m_onFailure;
    /** Ends when this object does, so that late callbacks of the disk find out. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace plantainlatch
