#pragma once

/** \file
 * What the system knows of an upstream.
 */

#include <cstdint>

#include "core/clock.h"
#include "core/ids.h"
#include "core/units.h"
#include "model/address.h"

namespace plantainlatch {

/** An upstream as it announces itself; renewed by announcing again. */
struct upstream_announcement {
    upstream_id id;
    upstream_generation generation;
    service_id service;
    network_address address;
    region_id region;
    failure_domain_id failureDomain;
    slot_count slots;
    std::uint32_t connections = 0;
    /** It asks for no new work. */
    bool draining = false;
    /** How long it still is cold; zero when it is warm. */
    duration coldFor {};
    /** Numbers what the generation says of itself, so that a late message is told from a new one. */
    std::uint64_t sequence = 0;

    friend bool operator==(const upstream_announcement&, const upstream_announcement&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.id, self.generation, self.service, self.address, self.region, self.failureDomain, self.slots,
            self.connections, self.draining, self.coldFor, self.sequence);
    }
};

/** A report of an upstream's own load; it may lag or mislead. */
struct load_report {
    bool healthy = true;
    bool draining = false;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /** As the upstream tells it; 0 when it doesn't. */
    std::uint32_t slots = 0;
};

} // namespace plantainlatch
