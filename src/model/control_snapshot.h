#pragma once

/** \file
 * The replicated control state: the state of the replicated state machine, also as it is stored in snapshots.
 */

#include <map>
#include <set>
#include <string>
#include <vector>

#include "model/command.h"
#include "model/configuration.h"

namespace plantainlatch {

/** An upstream in the directory. */
struct directory_record {
    upstream_announcement announcement;
    wall_time joinedAt {};

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.announcement, self.joinedAt);
    }
};

/** An idempotency key of a service. */
struct key_name {
    service_id service;
    idempotency_key key;

    friend auto operator<=>(const key_name&, const key_name&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.service, self.key);
    }
};

/** The claim of an idempotency key. */
struct key_record {
    proposal_id claim;
    request_fingerprint fingerprint;
    wall_time expiresAt {};
    /** The time by which the work has ended. A claim that is not settled by then counts as Unknown. */
    wall_time runsUntil {};
    outcome result = outcome::InProgress;
    std::optional<upstream_answer> answer;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.claim, self.fingerprint, self.expiresAt, self.runsUntil, self.result, self.answer);
    }
};

/** One start of an upstream that crashed. It may start again under its id. */
struct crashed_upstream {
    upstream_id id;
    upstream_generation generation;

    friend auto operator<=>(const crashed_upstream&, const crashed_upstream&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.id, self.generation);
    }
};

/** Upstreams that crashed while they ran equal requests. */
struct crash_record {
    /** The fields of snapshots that were written before `upstreams` was added. */
    static constexpr std::uint32_t requiredFields = 2;

    /** Only read from such snapshots, which don't state the generations. */
    std::set<upstream_id> withoutGeneration;
    wall_time lastSeen {};
    std::set<crashed_upstream> upstreams;
    /** How many requests were allowed to run although equal ones are refused, to see whether they still crash. */
    std::uint64_t trials = 0;
    /** The trials that neither completed nor lost their upstream. */
    std::uint64_t unjudgedTrials = 0;
    /** How often crashes were withdrawn while equal requests of one caller were refused. */
    std::uint64_t liftedRefusals = 0;

    std::size_t crashes() const { return withoutGeneration.size() + upstreams.size(); }

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.withoutGeneration, self.lastSeen, self.upstreams, self.trials, self.unjudgedTrials,
            self.liftedRefusals);
    }
};

/** The slot allocator of a region. */
struct allocator_record {
    vm_id vm;
    incarnation start;
    allocator_epoch epoch;

    friend bool operator==(const allocator_record&, const allocator_record&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.vm, self.start, self.epoch);
    }
};

/** The progress of a shift. */
struct shift_record {
    std::uint64_t step = 0;
    std::uint32_t percent = 0;
    shift_phase phase = shift_phase::Running;
    wall_time steppedAt {};
    /** The target's median latency before the shift; zero until known. */
    duration baseline {};
    /** How many steps were undone. */
    std::uint32_t setbacks = 0;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.step, self.percent, self.phase, self.steppedAt, self.baseline, self.setbacks);
    }
};

/** The latest start of a VM. */
struct vm_start_record {
    vm_record record;
    incarnation start;
    wall_time startedAt {};
    /** This incarnation stopped gracefully and left no work at upstreams. */
    bool stopped = false;
    /** No work of earlier incarnations of the VM can still run at upstreams. */
    bool earlierWorkEnded = false;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.record, self.start, self.startedAt, self.stopped, self.earlierWorkEnded);
    }
};

/** An accepted declaration. */
struct history_record {
    declaration content;
    wall_time acceptedAt {};
    /** The VM that proposed it. */
    vm_id acceptedThrough;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.content, self.acceptedAt, self.acceptedThrough);
    }
};

/** Cached results of a VM's recent proposals, for proposals that are resent. */
struct proposer_record {
    incarnation start;
    /** By the sequence number of the proposal. */
    std::map<std::uint64_t, command_result> results;
    /** The most recent earlier incarnations, the latest last. Their proposals are refused. */
    std::vector<incarnation> formerStarts;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.start, self.results, self.formerStarts);
    }
};

/** A tombstone of an upstream that left the directory, by which delayed announcements and flapping are detected. */
struct departed_record {
    upstream_generation generation;
    wall_time leftAt {};
    /** The upstream deregistered itself, so this generation cannot register again. */
    bool deregistered = false;
    /** How often the upstream left without deregistering; starts again at 0 after `flapResetTime`. */
    std::uint32_t expirations = 0;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.generation, self.leftAt, self.deregistered, self.expirations);
    }
};

/** The limit on drain_order_table::lastByTarget. */
inline constexpr std::size_t maximumDrainOrders = 4096;

/** The numbers of the accepted drain orders, by which an order that arrives late is recognised. */
struct drain_order_table {
    /** The number of the last order for any target. */
    std::uint64_t last = 0;
    /** The number of the last order for each target. */
    std::map<drain_target, std::uint64_t> lastByTarget;
    /** The highest number that was removed from `lastByTarget`; counts as the last order of each target not in it. */
    std::uint64_t forgotten = 0;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.last, self.lastByTarget, self.forgotten);
    }
};

/** The whole replicated control state. */
struct control_snapshot {
    /** The fields of snapshots that were written before `drainOrders` was added. */
    static constexpr std::uint32_t requiredFields = 12;

    configuration config;
    std::vector<history_record> history;
    std::map<upstream_id, directory_record> directory;
    std::set<drain_target> drains;
    std::map<key_name, key_record> keys;
    std::map<crash_key, crash_record> crashes;
    std::map<region_id, allocator_record> allocators;
    std::map<shift_id, shift_record> shifts;
    std::map<vm_id, vm_start_record> vms;
    std::map<vm_id, proposer_record> proposers;
    std::map<upstream_id, departed_record> departed;
    /** The configuration that the first declaration in the history was merged into; unused without a history. */
    configuration historyBase;
    drain_order_table drainOrders;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.config, self.history, self.directory, self.drains, self.keys, self.crashes, self.allocators,
            self.shifts, self.vms, self.proposers, self.departed, self.historyBase, self.drainOrders);
    }
};

} // namespace plantainlatch
