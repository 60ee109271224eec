#pragma once

/** \file
 * The whole replicated control state as a value, for snapshots and for readers.
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

/** What is known of a claimed key. */
struct key_record {
    proposal_id claim;
    request_fingerprint fingerprint;
    wall_time expiresAt {};
    /** The work may run until then; when it is still not settled, its end is Unknown. */
    wall_time runsUntil {};
    /** InProgress until settled. */
    outcome result = outcome::InProgress;
    std::optional<upstream_answer> answer;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.claim, self.fingerprint, self.expiresAt, self.runsUntil, self.result, self.answer);
    }
};

/** A fingerprint of a service's requests. */
struct crash_key {
    service_id service;
    request_fingerprint fingerprint;

    friend auto operator<=>(const crash_key&, const crash_key&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.service, self.fingerprint);
    }
};

/** Upstreams that crashed under equal requests. */
struct crash_record {
    std::set<upstream_id> upstreams;
    wall_time lastSeen {};

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.upstreams, self.lastSeen);
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

/** Where a shift stands. */
struct shift_record {
    std::uint64_t step = 0;
    std::uint32_t percent = 0;
    shift_phase phase = shift_phase::Running;
    wall_time steppedAt {};
    /** The target's latency before the shift; zero until known. */
    duration baseline {};
    /** How often a step had to be undone. */
    std::uint32_t setbacks = 0;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.step, self.percent, self.phase, self.steppedAt, self.baseline, self.setbacks);
    }
};

/** A VM as it last started. */
struct vm_start_record {
    vm_record record;
    incarnation start;
    wall_time startedAt {};
    /** This start ended gracefully and left no work at upstreams. */
    bool stopped = false;
    /** No work of earlier starts of the VM can still run at upstreams. */
    bool earlierWorkEnded = false;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.record, self.start, self.startedAt, self.stopped, self.earlierWorkEnded);
    }
};

/** An accepted declaration in the history. */
struct history_record {
    declaration content;
    wall_time acceptedAt {};
    vm_id acceptedThrough;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.content, self.acceptedAt, self.acceptedThrough);
    }
};

/** The last proposal of a VM's incarnation that was applied, and recent results for resent ones. */
struct proposer_record {
    incarnation start;
    std::map<std::uint64_t, command_result> results;
    /** The latest earlier incarnations, the newest last; their late proposals are refused. */
    std::vector<incarnation> formerStarts;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.start, self.results, self.formerStarts);
    }
};

/** An upstream that left the directory: kept so that late announcements and flapping are recognised. */
struct departed_record {
    upstream_generation generation;
    wall_time leftAt {};
    /** It said goodbye, so that this generation never comes back. */
    bool deregistered = false;
    /** How often it fell silent without a long enough calm between. */
    std::uint32_t expirations = 0;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.generation, self.leftAt, self.deregistered, self.expirations);
    }
};

/** All replicated control state. */
struct control_snapshot {
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
    /** The configuration before the first record of the history. */
    configuration historyBase;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.config, self.history, self.directory, self.drains, self.keys, self.crashes, self.allocators,
            self.shifts, self.vms, self.proposers, self.departed, self.historyBase);
    }
};

} // namespace plantainlatch
