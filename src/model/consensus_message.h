#pragma once

/** \file
 * Messages and durable records of the consensus protocol.
 */

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "model/command.h"
#include "model/control_snapshot.h"

namespace plantainlatch {

/** The identity of a replica: a VM and the incarnation of its disk. A VM whose disk was lost comes back as another
 * replica. */
struct replica_id {
    vm_id vm;
    incarnation disk;

    friend auto operator<=>(const replica_id&, const replica_id&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.vm, self.disk);
    }
};

/** The replicas that vote. Consecutive sets in the log differ by one replica. */
struct voter_set {
    std::set<replica_id> voters;

    friend bool operator==(const voter_set&, const voter_set&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.voters);
    }
};

/** One entry of the log: a proposal, or a new set of voters. */
struct log_entry {
    log_term term;
    log_index index;
    std::variant<proposal, voter_set> content;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.term, self.index, self.content);
    }
};

/** The state beside the log that a replica must keep across restarts (Raft's persistent state). */
struct hard_state {
    replica_id self;
    log_term term;
    /** The candidate that it voted for in `term`; empty for none. */
    replica_id votedFor;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.self, self.term, self.votedFor);
    }
};

/** The control state after applying the entry at `index`; it replaces all entries up to that index. */
struct log_snapshot {
    log_index index;
    log_term term;
    voter_set voters;
    control_snapshot state;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.index, self.term, self.voters, self.state);
    }
};

/** Requests a vote, or with `preVote` whether the vote would be granted; a pre-vote changes no state of the voter. */
struct vote_request {
    log_term term;
    replica_id candidate;
    log_index lastIndex;
    log_term lastTerm;
    bool preVote = false;
    /** The leader itself asked for this election, so its lease does not prevent it. */
    bool transfer = false;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.term, self.candidate, self.lastIndex, self.lastTerm, self.preVote, self.transfer);
    }
};

struct vote_answer {
    log_term term;
    replica_id voter;
    bool preVote = false;
    bool granted = false;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.term, self.voter, self.preVote, self.granted);
    }
};

/** Replicates entries; without entries it is a heartbeat. */
struct append_request {
    log_term term;
    replica_id leader;
    log_index previousIndex;
    log_term previousTerm;
    std::vector<log_entry> entries;
    log_index committed;
    /** The number of the leader's heartbeat round. An answer with this number shows that the follower received a
     * message sent after the round began. When the message replicates the first entry of a new log (see log_joiner),
     * this is the receiver's bootstrap token instead. */
    std::uint64_t round = 0;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.term, self.leader, self.previousIndex, self.previousTerm, self.entries, self.committed, self.round);
    }
};

struct append_answer {
    log_term term;
    replica_id follower;
    bool matched = false;
    /** If `matched`, the last durable index that matches the leader's log; otherwise, the last index that may match. */
    log_index index;
    std::uint64_t round = 0;
    /** The last index that the follower has applied, so that the leader can tell whether a change is in force on all
     * VMs. */
    log_index applied;
    /** The follower keeps its log on disk, so it may become a voter. */
    bool durable = false;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.term, self.follower, self.matched, self.index, self.round, self.applied, self.durable);
    }
};

/** Sends a snapshot to a follower that needs entries removed by log compaction. */
struct snapshot_request {
    log_term term;
    replica_id leader;
    log_snapshot snapshot;
    std::uint64_t round = 0;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.term, self.leader, self.snapshot, self.round);
    }
};

/** Asks an up-to-date voter to start an election at once, to transfer leadership to it. */
struct transfer_request {
    log_term term;
    replica_id leader;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.term, self.leader);
    }
};

/** Sent by a VM that has no leader, to find the log or, with a blank disk, to bootstrap one. */
struct join_request {
    replica_id self;
    /** Whether the VM has a working disk. */
    bool replica = false;
    /** Whether the VM has no log. */
    bool blank = false;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.self, self.replica, self.blank);
    }
};

/** Answers join_request: whether this VM has a log, and which leader it knows. */
struct join_answer {
    replica_id self;
    bool blank = false;
    vm_id leader;
    /** The sender of the request; answers to an earlier identity of the same VM are ignored. */
    replica_id requester;
    /** Issued by a blank replica, which accepts the first entry of a new log only with the token that it issued last; 0
     * for none. */
    std::uint64_t bootstrapToken = 0;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.self, self.blank, self.leader, self.requester, self.bootstrapToken);
    }
};

/** Forwards a proposal to the leader; it may be sent more than once. */
struct propose_request {
    proposal_id id;
    control_command command;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.id, self.command);
    }
};

/** The result of a proposal that the leader has applied; or, if the receiver did not accept it, the leader that it
 * knows. */
struct propose_answer {
    proposal_id id;
    std::optional<command_result> result;
    vm_id leader;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.id, self.result, self.leader);
    }
};

/** Any message of the consensus protocol. The order of the alternatives is part of the encoding. */
using consensus_message = std::variant<vote_request, vote_answer, append_request, append_answer, snapshot_request,
    transfer_request, join_request, join_answer, propose_request, propose_answer>;

} // namespace plantainlatch
