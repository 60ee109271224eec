#pragma once

/** \file
 * The commands of the replicated log, and the results of applying them.
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
#include "model/configuration_difference.h"
#include "model/declaration.h"
#include "model/http.h"
#include "model/upstream.h"
#include "model/vm_settings.h"

namespace plantainlatch {

/** Identifies a proposal, so that a resent proposal is applied only once. */
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

/** A no-op; a new leader begins its term with one. */
struct noop_command {
    template <typename Self, typename Visitor> static void visitFields(Self&, Visitor&& visit) { visit(); }
};

/** Merges a declaration into the configuration that it replaces, if that is the one in force. */
struct apply_declaration {
    declaration content;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.content);
    }
};

/** Replaces the whole configuration if the number is higher than the one in force; otherwise changes nothing. */
struct replace_configuration {
    configuration content;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.content);
    }
};

/** Has the effect of replace_configuration, and is as large as the change. Changes nothing if another configuration
 * than `base` is in force. */
struct amend_configuration {
    change_number base;
    configuration_difference difference;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.base, self.difference);
    }
};

enum class drain_kind {
    Vm,
    Upstream,
    FailureDomain,
    Region,
};

/** What an operator drains, by kind and name. */
struct drain_target {
    drain_kind kind = drain_kind::Upstream;
    std::string name;

    friend auto operator<=>(const drain_target&, const drain_target&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.kind, self.name);
    }
};

/** Starts or ends a drain. */
struct set_drain {
    /** The fields of log entries that were written before `after` was added. */
    static constexpr std::uint32_t requiredFields = 2;

    drain_target target;
    bool draining = false;
    /** The number of the last drain order that the proposing VM had applied when it found the sender still waiting. The
     * command changes nothing if a later order for the target was applied. None: it is applied in any case. */
    std::optional<std::uint64_t> after;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.target, self.draining, self.after);
    }
};

/** Registers an upstream in the directory, or updates its announcement. */
struct upstream_joined {
    upstream_announcement announcement;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.announcement);
    }
};

/** Removes an upstream from the directory because it deregistered or its announcement expired. */
struct upstream_left {
    upstream_id id;
    upstream_generation generation;
    /** The upstream deregistered itself, so this generation cannot register again. After an expiration it can. */
    bool deregistered = false;
    /** For an expiration: the sequence number of the announcement that expired. The upstream stays if a later one has
     * been applied. */
    std::uint64_t sequence = 0;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.id, self.generation, self.deregistered, self.sequence);
    }
};

/** Claims an idempotency key for one request. Only the first claim of a key succeeds. */
struct claim_key {
    service_id service;
    idempotency_key key;
    request_fingerprint fingerprint;
    /** How long the key is kept, from the time of the proposal. */
    duration retention {};
    /** How long the work may run, from the time of the proposal. A claim not settled by then counts as Unknown. */
    duration runLimit {};

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.service, self.key, self.fingerprint, self.retention, self.runLimit);
    }
};

/** Records the outcome of the request that claimed a key. NotRun frees the key. */
struct settle_key {
    service_id service;
    idempotency_key key;
    /** The proposal that claimed the key. */
    proposal_id claim;
    outcome result = outcome::Unknown;
    /** The answer to replay; only with Completed. */
    std::optional<upstream_answer> answer;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.service, self.key, self.claim, self.result, self.answer);
    }
};

/** Identifies equal requests of a service. */
struct crash_key {
    service_id service;
    request_fingerprint fingerprint;

    friend auto operator<=>(const crash_key&, const crash_key&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.service, self.fingerprint);
    }
};

/** Reports that an upstream crashed while it ran a request with this fingerprint. */
struct report_crash {
    /** The fields of log entries that were written before `generation` was added. */
    static constexpr std::uint32_t requiredFields = 3;

    service_id service;
    request_fingerprint fingerprint;
    upstream_id upstream;
    /** Which start of the upstream crashed. */
    upstream_generation generation;
    /** Another fingerprint of the same request, for which the crash counts as well. */
    std::optional<request_fingerprint> otherFingerprint;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.service, self.fingerprint, self.upstream, self.generation, self.otherFingerprint);
    }
};

/** Withdraws the crashes of equal requests, because one of them completed. */
struct withdraw_crashes {
    crash_key request;
    /** Equal requests of one caller are refused, and will no longer be. */
    bool liftsRefusal = false;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.request, self.liftsRefusal);
    }
};

/** Allows one request to run although equal ones are refused, unless another trial has begun. */
struct begin_crash_trial {
    crash_key request;
    /** The number of trials that had begun before. */
    std::uint64_t trials = 0;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.request, self.trials);
    }
};

/** Reports that a trial neither completed nor lost its upstream, so that it does not count. */
struct discard_crash_trial {
    crash_key request;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.request);
    }
};

/** Makes a VM the slot allocator of a region under a new epoch. */
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

/** The phase of a traffic shift. */
enum class shift_phase {
    Running,
    /** Waits for measurements, or for the target to recover or have capacity. */
    Held,
    /** Steps back to 0 percent after too many setbacks. */
    Reverting,
    Reverted,
    /** Has reached its final percentage. */
    Done,
};

/** Sets a shift's percentage and phase. */
struct step_shift {
    shift_id shift;
    /** The shift's current step number. The command is refused if it has changed, so that two leaders cannot both take
     * the same step. */
    std::uint64_t afterStep = 0;
    std::uint32_t percent = 0;
    shift_phase phase = shift_phase::Running;
    /** The target's median latency before the shift, to which the gate compares later measurements. */
    duration baseline {};

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.shift, self.afterStep, self.percent, self.phase, self.baseline);
    }
};

/** Records that a VM started, and its location and addresses. */
struct vm_started {
    vm_record record;
    incarnation start;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.record, self.start);
    }
};

/** Records that an incarnation of a VM stopped gracefully: none of the work that it dispatched still runs. */
struct vm_stopped {
    vm_id vm;
    incarnation start;
    /** Work of earlier incarnations has ended as well, since this one ran longer than any such work could. */
    bool earlierWorkEnded = false;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.vm, self.start, self.earlierWorkEnded);
    }
};

/** Any command. New alternatives are added at the end, since stored entries identify a command by its index. */
using control_command = std::variant<noop_command, apply_declaration, set_drain, upstream_joined, upstream_left,
    claim_key, settle_key, report_crash, assign_allocator, step_shift, vm_started, vm_stopped, replace_configuration,
    amend_configuration, withdraw_crashes, begin_crash_trial, discard_crash_trial>;

/** A command in an entry of the log. `proposedAt` is the leader's wall clock at the proposal. It serves as the current
 * time when the command is applied. */
struct proposal {
    proposal_id id;
    wall_time proposedAt {};
    control_command command;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.id, self.proposedAt, self.command);
    }
};

/** Whether a command was applied. */
enum class command_verdict {
    Accepted,
    /** The command had taken effect before, or was superseded; it changes nothing. */
    AlreadyAccepted,
    /** A declaration with another content has this number, or the change is not based on the configuration in force.
     * The message has the details. */
    Conflict,
    /** The command is invalid in the current state. The message has the reason. */
    Refused,
};

/** The result of a claim of an idempotency key. */
enum class claim_result {
    Claimed,
    /** Another request holds the key and has not settled it. */
    InProgress,
    /** The request with this key has completed. Its answer is included unless it was too large to keep. */
    Completed,
    /** The request with this key may or may not have run. */
    Unknown,
    /** The key was used with a different request. */
    Reused,
    /** The key is free, but the table has no space for it. */
    TableFull,
};

/** The result of applying a command, which is the same on every VM. */
struct command_result {
    command_verdict verdict = command_verdict::Accepted;
    std::string message;
    /** Only for claim_key. */
    std::optional<claim_result> claim;
    /** Only for claim_key that found Completed. */
    std::optional<upstream_answer> answer;
    /** Only for report_crash: how many distinct upstreams equal requests have crashed. */
    std::uint64_t crashedUpstreams = 0;
    /** The same for its other fingerprint. */
    std::uint64_t otherCrashedUpstreams = 0;

    /** The fields of results that were cached before `otherCrashedUpstreams` was added. */
    static constexpr std::uint32_t requiredFields = 5;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.verdict, self.message, self.claim, self.answer, self.crashedUpstreams, self.otherCrashedUpstreams);
    }
};

} // namespace plantainlatch
