#pragma once

/** \file
 * The definitions that operators declare, and declarations, which are numbered sets of changes to them.
 */

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/findings.h"
#include "core/ids.h"
#include "core/units.h"

namespace plantainlatch {

/** A region and its failure domains. */
struct region_definition {
    region_id id;
    std::vector<failure_domain_id> failureDomains;

    friend bool operator==(const region_definition&, const region_definition&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.id, self.failureDomains);
    }
};

/** The bandwidth budget of the link between two regions, for each direction. */
struct link_definition {
    region_id left;
    region_id right;
    bytes_per_second budget;

    friend bool operator==(const link_definition&, const link_definition&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.left, self.right, self.budget);
    }
};

/** Whether requests with a method and path prefix are idempotent. The rule with the longest matching prefix applies. */
struct route_rule {
    std::string method;
    std::string pathPrefix;
    bool idempotent = false;

    friend bool operator==(const route_rule&, const route_rule&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.method, self.pathPrefix, self.idempotent);
    }
};

/** A service, its defaults, and the limits for its upstreams. */
struct service_definition {
    service_id id;
    /** The most requests that one upstream runs concurrently. An announcement with a higher number is refused. */
    slot_count slots;
    /** The most connections to one upstream from all VMs together. */
    std::uint32_t connections = 0;
    duration defaultDeadline {};
    duration maximumDeadline {};
    byte_count maximumBody;
    /** How long a claimed idempotency key and its answer are kept. */
    duration keyRetention {};
    std::vector<route_rule> routes;
    /** How long an upstream is cold after its start; zero if it never is. */
    duration coldTime {};
    /** The request rate that a cold upstream can handle, in requests a second from all VMs together. */
    double coldRate = 0;

    friend bool operator==(const service_definition&, const service_definition&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.id, self.slots, self.connections, self.defaultDeadline, self.maximumDeadline, self.maximumBody,
            self.keyRetention, self.routes, self.coldTime, self.coldRate);
    }
};

/** The share of a service's traffic that a failure domain takes, as a weight among all shares of the service. */
struct share_definition {
    service_id service;
    failure_domain_id failureDomain;
    std::uint32_t weight = 0;

    friend bool operator==(const share_definition&, const share_definition&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.service, self.failureDomain, self.weight);
    }
};

/** An operator's constraints on one upstream, which its announcements have to match. */
struct upstream_definition {
    upstream_id id;
    service_id service;
    failure_domain_id failureDomain;
    /** A limit for this upstream, at most the service's; none for the service's limit. */
    std::optional<slot_count> slots;

    friend bool operator==(const upstream_definition&, const upstream_definition&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.id, self.service, self.failureDomain, self.slots);
    }
};

/** A gradual shift of a service's traffic from one failure domain to another. A health gate controls the steps, and a
 * cap limits the rate of shifted requests. */
struct shift_definition {
    shift_id id;
    service_id service;
    failure_domain_id from;
    failure_domain_id to;
    /** The final percentage of the source's traffic to shift, 1 to 100. */
    std::uint32_t percent = 0;
    /** The most requests that are shifted to the target within any second, by all VMs together. */
    std::uint32_t capPerSecond = 0;
    /** The size of a step, in percent of the source's traffic. */
    std::uint32_t stepPercent = 0;
    /** The minimum time between steps. */
    duration stepInterval {};

    friend bool operator==(const shift_definition&, const shift_definition&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.id, self.service, self.from, self.to, self.percent, self.capPerSecond, self.stepPercent,
            self.stepInterval);
    }
};

/** A definition with its position in the operator's file. The position is ignored in comparisons and not encoded. */
template <typename Definition> struct declared {
    Definition value;
    text_position position;

    friend bool operator==(const declared& left, const declared& right) { return left.value == right.value; }

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.value);
    }
};

/** A declaration's changes to one kind of definition. */
template <typename Definition> struct definition_changes {
    std::vector<declared<Definition>> added;
    std::vector<declared<Definition>> changed;
    /** Of these definitions, only the fields that form the key are used. */
    std::vector<declared<Definition>> withdrawn;

    bool empty() const { return added.empty() && changed.empty() && withdrawn.empty(); }

    friend bool operator==(const definition_changes&, const definition_changes&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.added, self.changed, self.withdrawn);
    }
};

/** A risk for which a declaration is refused unless it lists the risk as accepted. */
enum class accepted_risk {
    /** The load of a region may exceed its capacity. */
    RegionOverload,
    /** A service may have no upstream left. */
    NoUpstream,
};

/** A numbered set of changes to the configuration with the number `replaces`. */
struct declaration {
    change_number number;
    change_number replaces;
    std::string note;
    std::vector<accepted_risk> acceptedRisks;
    definition_changes<region_definition> regions;
    definition_changes<link_definition> links;
    definition_changes<service_definition> services;
    definition_changes<share_definition> shares;
    definition_changes<upstream_definition> upstreams;
    definition_changes<shift_definition> shifts;

    friend bool operator==(const declaration&, const declaration&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.number, self.replaces, self.note, self.acceptedRisks, self.regions, self.links, self.services,
            self.shares, self.upstreams, self.shifts);
    }
};

} // namespace plantainlatch
