#pragma once

/** \file
 * Messages between the holders of slots and the allocator of a region.
 */

#include <cstdint>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/units.h"

namespace plantainlatch {

/** How many slots of one generation of an upstream a VM holds or is given. */
struct slot_share {
    upstream_id upstream;
    upstream_generation generation;
    std::uint32_t count = 0;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.upstream, self.generation, self.count);
    }
};

/** What a holder wants and has of one service in one region. */
struct slot_demand {
    service_id service;
    /** A failure domain whose upstreams are wanted; empty for any. */
    failure_domain_id preferred;
    /** Requests that wait for a slot now. */
    std::uint32_t waiting = 0;
    /** Slots that the holder holds and does not use. */
    std::uint32_t idle = 0;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.service, self.preferred, self.waiting, self.idle);
    }
};

/** A holder renews its lease, gives slots back, and says what it holds and wants; numbered by the holder. */
struct slot_report {
    region_id region;
    allocator_epoch epoch;
    incarnation start;
    std::uint64_t sequence = 0;
    /** How long this incarnation has run; work of an earlier one may still run at upstreams. */
    duration running {};
    /** All that the holder still holds, in use or not, after what it gave back. */
    std::vector<slot_share> held;
    std::vector<slot_demand> demands;
    /** Upstreams that the holder finds unfit and wants no slots of. */
    std::vector<upstream_id> ejected;
    /** Answers since the last report that were as fast as those of the other upstreams. */
    std::vector<slot_share> warmAnswers;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.region, self.epoch, self.start, self.sequence, self.running, self.held, self.demands, self.ejected,
            self.warmAnswers);
    }
};

/**
 * What the holder has now, for `lease` after it sent the report of that number. A holder takes it only if it has sent
 * no later report; the allocator may send several for one report, of which the one with the highest revision counts.
 */
struct slot_grant {
    region_id region;
    allocator_epoch epoch;
    incarnation holder;
    std::uint64_t sequence = 0;
    std::uint64_t revision = 0;
    duration lease {};
    std::vector<slot_share> granted;
    /** How many slots of these the holder should give back as soon as they are idle. */
    std::vector<slot_share> recalled;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.region, self.epoch, self.holder, self.sequence, self.revision, self.lease, self.granted,
            self.recalled);
    }
};

/** Any message about slots. */
using slot_message = std::variant<slot_report, slot_grant>;

} // namespace plantainlatch
