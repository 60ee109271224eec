#pragma once

/** \file
 * Messages and durable records of the replicated log.
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

/** A copy of the log: a VM with one particular disk. */
struct replica_id {
    vm_id vm;
    incarnation disk;

    friend auto operator<=>(const replica_id&, const replica_id&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.vm, self.disk);
    }
};

/** The replicas that vote; two sets that follow each other differ by one. */
struct voter_set {
    std::set<replica_id> voters;

    friend bool operator==(const voter_set&, const voter_set&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.voters);
    }
};

/** One entry of the log: a proposal, or a change of the voters. */
struct log_entry {
    log_term term;
    log_index index;
    std::variant<proposal, voter_set> content;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.term, self.index, self.content);
    }
};

/** What a replica must not forget between two starts, beside its log. */
struct hard_state {
    replica_id self;
    log_term term;
    /** For whom it voted in that term; empty for none. */
    replica_id votedFor;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.self, self.term, self.votedFor);
    }
};

/** The control state after the entry at `index`, which stands for all entries up to it. */
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

/** Asks for a vote, or with `preVote` whether one would be given; a pre-vote changes no state. */
struct vote_request {
    log_term term;
    replica_id candidate;
    log_index lastIndex;
    log_term lastTerm;
    bool preVote = false;
    /** Set when the leader itself asked for this election; a leader's lease does not prevent it then. */
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

/** Sends entries, and with none is the leader's heartbeat. */
struct append_request {
    log_term term;
    replica_id leader;
    log_index previousIndex;
    log_term previousTerm;
    std::vector<log_entry> entries;
    log_index committed;
    /** Numbers the leader's rounds, so that an answer proves that the follower heard it after a moment. */
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
    /** The last durable index that matches the leader's, or where to try next when not matched. */
    log_index index;
    std::uint64_t round = 0;
    /** What the follower has applied, for "in force everywhere". */
    log_index applied;
    /** What matched is on the follower's disk, so that it may become a voter. */
    bool durable = false;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.term, self.follower, self.matched, self.index, self.round, self.applied, self.durable);
    }
};

/** Sends the whole state to a VM that is too far behind for entries. */
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

/** Asks the most advanced replica to start an election at once. */
struct transfer_request {
    log_term term;
    replica_id leader;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.term, self.leader);
    }
};

/** A VM without a vote asks to be sent the log; an empty disk asks so too, and says so. */
struct join_request {
    replica_id self;
    bool replica = false;
    /** Nothing durable was found. */
    bool blank = false;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.self, self.replica, self.blank);
    }
};

/** Answers join_request: whether this VM knows of a log, and of a leader. */
struct join_answer {
    replica_id self;
    bool blank = false;
    vm_id leader;
    /** Who asked; an answer to an earlier disk of the same VM counts for nothing. */
    replica_id asker;
    /** A blank replica takes the first entry of a new log only under the last pledge that it gave. */
    std::uint64_t pledge = 0;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.self, self.blank, self.leader, self.asker, self.pledge);
    }
};

/** A proposal on its way to the leader; it may be sent again. */
struct propose_request {
    proposal_id id;
    control_command command;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.id, self.command);
    }
};

/** The result of a proposal, once applied at the leader; or who may be the leader. */
struct propose_answer {
    proposal_id id;
    std::optional<command_result> result;
    vm_id leader;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.id, self.result, self.leader);
    }
};

/** Any message of the replicated log. */
using consensus_message = std::variant<vote_request, vote_answer, append_request, append_answer, snapshot_request,
    transfer_request, join_request, join_answer, propose_request, propose_answer>;

} // namespace plantainlatch
