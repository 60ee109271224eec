#pragma once

/** \file
 * Messages between the slot allocator of a region and the VMs that hold its slots.
 *
 * A slot is the right to run one request on an upstream at a time. The allocator of a region leases the slots of the
 * region's upstreams to VMs, the holders. A holder sends slot_report; the allocator answers with slot_grant.
 */

#include <cstdint>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/units.h"

namespace plantainlatch {

/** A number of slots, or of answers, of one generation of an upstream. */
struct per_upstream_count {
    upstream_id upstream;
    upstream_generation generation;
    std::uint32_t count = 0;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.upstream, self.generation, self.count);
    }
};

/** A holder's demand for slots of one service in one region. */
struct slot_demand {
    service_id service;
    /** The failure domain whose upstreams are allocated first; empty for any. */
    failure_domain_id preferred;
    /** Requests that wait for a slot. */
    std::uint32_t waiting = 0;
    /** Slots that are held and not in use. */
    std::uint32_t idle = 0;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.service, self.preferred, self.waiting, self.idle);
    }
};

/**
 * Renews the holder's lease, returns slots, and states the slots that it holds and its demand.
 *
 * Slots that the holder had and that `held` does not list are returned to the allocator.
 */
struct slot_report {
    region_id region;
    allocator_epoch epoch;
    /** The incarnation of the holder that sends the report. */
    incarnation start;
    /** Increases by one with each report of the incarnation. */
    std::uint64_t sequence = 0;
    /** Time since this incarnation began; requests of an earlier one may still run at upstreams. */
    duration uptime {};
    /** All slots that the holder keeps, in use or idle. */
    std::vector<per_upstream_count> held;
    std::vector<slot_demand> demands;
    /** Upstreams that the holder has ejected because they fail; it needs no slots of them. */
    std::vector<upstream_id> ejected;
    /** Answers since the last report whose latency was in the usual range of the service (upstream_quality). */
    std::vector<per_upstream_count> warmAnswers;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.region, self.epoch, self.start, self.sequence, self.uptime, self.held, self.demands, self.ejected,
            self.warmAnswers);
    }
};

/**
 * All slots on which the holder may start requests. The grant is valid for `lease`, counted from the time when the
 * holder sent the report with this sequence number.
 *
 * The holder ignores a grant that answers any report but its latest. The allocator may send several grants for one
 * report; the one with the highest revision replaces the others.
 */
struct slot_grant {
    region_id region;
    allocator_epoch epoch;
    incarnation holder;
    std::uint64_t sequence = 0;
    std::uint64_t revision = 0;
    duration lease {};
    std::vector<per_upstream_count> granted;
    /** Slots that the holder should return as soon as they are idle. */
    std::vector<per_upstream_count> recalled;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.region, self.epoch, self.holder, self.sequence, self.revision, self.lease, self.granted,
            self.recalled);
    }
};

using slot_message = std::variant<slot_report, slot_grant>;

} // namespace plantainlatch
