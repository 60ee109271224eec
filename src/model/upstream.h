#pragma once

/** \file
 * What an upstream reports about itself: its announcement and its load.
 */

#include <cstdint>

#include "core/clock.h"
#include "core/ids.h"
#include "core/units.h"
#include "model/address.h"

namespace plantainlatch {

/** The registration that an upstream announces, and renews by announcing it again. */
struct upstream_announcement {
    upstream_id id;
    upstream_generation generation;
    service_id service;
    network_address address;
    region_id region;
    failure_domain_id failureDomain;
    slot_count slots;
    std::uint32_t connections = 0;
    /** The upstream accepts no new requests. */
    bool draining = false;
    /** The remaining time of its cold start; zero once it is warm. */
    duration coldFor {};
    /** The announcement's sequence number within its generation, by which outdated announcements are recognised. */
    std::uint64_t sequence = 0;

    friend bool operator==(const upstream_announcement&, const upstream_announcement&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.id, self.generation, self.service, self.address, self.region, self.failureDomain, self.slots,
            self.connections, self.draining, self.coldFor, self.sequence);
    }
};

/** An upstream's report of its own load; it may be outdated or wrong. */
struct load_report {
    bool healthy = true;
    bool draining = false;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /** 0 if the upstream does not report it. */
    std::uint32_t slots = 0;
    /** How long work takes on the upstream's machine at this moment, relative to the usual; other work on the machine
     * changes it many times a second. 1 if the upstream does not report it. */
    double workTimeFactor = 1;
};

} // namespace plantainlatch
