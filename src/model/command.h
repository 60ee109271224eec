#pragma once

/** \file
 * The commands of the replicated log and what applying one results in.
 */

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/outcome.h"
#include "model/configuration.h"
#include "model/declaration.h"
#include "model/http.h"
#include "model/upstream.h"
#include "model/vm_settings.h"

namespace plantainlatch {

/** Names one proposal; the log applies each at most once, however often it is resent. */
struct proposal_id {
    vm_id vm;
    incarnation start;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const proposal_id&, const proposal_id&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.vm, self.start, self.sequence);
    }
};

/** Does nothing; a new leader begins its term with one. */
struct noop_command {
    template <typename Self, typename Visitor> static void visitFields(Self&, Visitor&& visit) { visit(); }
};

/** Accepts a declaration if it replaces the configuration in force. */
struct apply_declaration {
    declaration content;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.content);
    }
};

/** Puts a whole configuration in force if its number is above that in force; a lower or equal one changes nothing. */
struct replace_configuration {
    configuration content;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.content);
    }
};

/** What an operator drains. */
enum class drain_kind {
    Vm,
    Upstream,
    FailureDomain,
    Region,
};

/** A thing that is drained, by kind and name. */
struct drain_target {
    drain_kind kind = drain_kind::Upstream;
    std::string name;

    friend auto operator<=>(const drain_target&, const drain_target&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.kind, self.name);
    }
};

/** Begins or ends a drain. */
struct set_drain {
    drain_target target;
    bool draining = false;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.target, self.draining);
    }
};

/** Enters an upstream into the directory, or replaces an earlier generation of it. */
struct upstream_joined {
    upstream_announcement announcement;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.announcement);
    }
};

/** Takes an upstream out of the directory, after a goodbye or after silence. */
struct upstream_left {
    upstream_id id;
    upstream_generation generation;
    /** It said goodbye, so that this generation never comes back; after silence it may. */
    bool deregistered = false;
    /** What was last known of an upstream that fell silent; one that was heard of since then stays. */
    std::uint64_t sequence = 0;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.id, self.generation, self.deregistered, self.sequence);
    }
};

/** Claims an idempotency key for one request; only the first claim of a key wins. */
struct claim_key {
    service_id service;
    idempotency_key key;
    request_fingerprint fingerprint;
    /** How long the key is kept from now on. */
    duration retention {};
    /** How long from now on the work may run; a claim that is not settled by then is Unknown. */
    duration runLimit {};

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.service, self.key, self.fingerprint, self.retention, self.runLimit);
    }
};

/** Records how the work of a claimed key ended; NotRun frees the key again. */
struct settle_key {
    service_id service;
    idempotency_key key;
    /** The proposal that claimed the key. */
    proposal_id claim;
    outcome result = outcome::Unknown;
    /** The answer to replay; none unless Completed. */
    std::optional<upstream_answer> answer;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.service, self.key, self.claim, self.result, self.answer);
    }
};

/** Counts a crash of an upstream while it ran a request of this fingerprint. */
struct report_crash {
    service_id service;
    request_fingerprint fingerprint;
    upstream_id upstream;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.service, self.fingerprint, self.upstream);
    }
};

/** Makes a VM the slot allocator of a region, under the next epoch. */
struct assign_allocator {
    region_id region;
    vm_id vm;
    incarnation start;
    allocator_epoch epoch;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.region, self.vm, self.start, self.epoch);
    }
};

/** Where a shift of traffic stands. */
enum class shift_phase {
    Running,
    /** Waiting for measurements or for the target to recover. */
    Held,
    Reverting,
    Reverted,
    Done,
};

/** Moves a shift to another percentage or phase. */
struct step_shift {
    shift_id shift;
    /** The step that this one follows; another one is refused, so that two leaders cannot both step. */
    std::uint64_t afterStep = 0;
    std::uint32_t percent = 0;
    shift_phase phase = shift_phase::Running;
    /** The target's latency before the shift, which later steps are judged by. */
    duration baseline {};

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.shift, self.afterStep, self.percent, self.phase, self.baseline);
    }
};

/** Notes that a VM started, with where it is. */
struct vm_started {
    vm_record record;
    incarnation start;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.record, self.start);
    }
};

/** Notes that a start of a VM ended gracefully: no work that it dispatched runs any more. */
struct vm_stopped {
    vm_id vm;
    incarnation start;
    /** Work of earlier starts of the VM has ended as well, by the time that this start ran. */
    bool earlierWorkEnded = false;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.vm, self.start, self.earlierWorkEnded);
    }
};

/** Any command; new ones go to the end, as their positions are stored. */
using control_command = std::variant<noop_command, apply_declaration, set_drain, upstream_joined, upstream_left,
    claim_key, settle_key, report_crash, assign_allocator, step_shift, vm_started, vm_stopped, replace_configuration>;

/** A command with who proposed it and the leader's wall clock when it did. */
struct proposal {
    proposal_id id;
    wall_time proposedAt {};
    control_command command;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.id, self.proposedAt, self.command);
    }
};

/** How the application of a command ended. */
enum class command_verdict {
    Accepted,
    /** The same change was accepted before; the answer is the same. */
    AlreadyAccepted,
    /** Another change has that number; see the message. */
    Conflict,
    /** The command does not fit the state; see the message. */
    Refused,
};

/** What a claim found. */
enum class claim_result {
    Claimed,
    /** Another request holds the key and has not settled it. */
    InProgress,
    /** The key's work ran; the answer is there unless it was too large to keep. */
    Completed,
    Unknown,
    /** The key was used with another request. */
    Reused,
    /** Nobody holds the key, and there is no room for it. */
    TableFull,
};

/** The result of applying one command; the same on every VM. */
struct command_result {
    command_verdict verdict = command_verdict::Accepted;
    std::string message;
    /** Only for claim_key. */
    std::optional<claim_result> claim;
    /** Only for claim_key that found Completed. */
    std::optional<upstream_answer> answer;
    /** Only for report_crash: how many upstreams equal requests have crashed. */
    std::uint64_t crashedUpstreams = 0;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.verdict, self.message, self.claim, self.answer, self.crashedUpstreams);
    }
};

} // namespace plantainlatch
