#pragma once

/** \file
 * What an operator declares: the definitions, and the changes to them under one number.
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

/** The budget of the link between two regions, for each direction. */
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

/** Whether requests of one method and path prefix are idempotent; the longest prefix wins. */
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

/** A service and the limits that hold for each of its upstreams. */
struct service_definition {
    service_id id;
    /** The most requests that one upstream runs at once; an announcement may say less, not more. */
    slot_count slots;
    /** The most connections to one upstream, over all VMs together. */
    std::uint32_t connections = 0;
    duration defaultDeadline {};
    duration maximumDeadline {};
    byte_count maximumBody;
    /** How long a claimed idempotency key and its answer are kept. */
    duration keyRetention {};
    std::vector<route_rule> routes;
    /** How long an upstream is cold after its start; zero when it never is. */
    duration coldTime {};
    /** The requests a second that a cold upstream bears, from all VMs together. */
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

/** What an operator says of one upstream beyond its own announcement. */
struct upstream_definition {
    upstream_id id;
    service_id service;
    failure_domain_id failureDomain;
    /** A limit below the service's. */
    std::optional<slot_count> slots;

    friend bool operator==(const upstream_definition&, const upstream_definition&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.id, self.service, self.failureDomain, self.slots);
    }
};

/** A move of part of a service's traffic from one failure domain to another, in gated steps under a cap. */
struct shift_definition {
    shift_id id;
    service_id service;
    failure_domain_id from;
    failure_domain_id to;
    /** How much of the source's traffic moves in the end, 1 to 100. */
    std::uint32_t percent = 0;
    /** The most requests that the shift sends to the target within any second, over all VMs together. */
    std::uint32_t capPerSecond = 0;
    /** How much each step adds, in percent of the source's traffic. */
    std::uint32_t stepPercent = 0;
    duration stepInterval {};

    friend bool operator==(const shift_definition&, const shift_definition&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.id, self.service, self.from, self.to, self.percent, self.capPerSecond, self.stepPercent,
            self.stepInterval);
    }
};

/** A definition with its place in the operator's file; the place takes no part in comparisons and is not sent. */
template <typename Definition> struct declared {
    Definition value;
    text_position place;

    friend bool operator==(const declared& left, const declared& right) { return left.value == right.value; }

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.value);
    }
};

/** What a declaration adds, changes and withdraws of one kind of definition. */
template <typename Definition> struct definition_changes {
    std::vector<declared<Definition>> added;
    std::vector<declared<Definition>> changed;
    /** Only the fields that name the definition count. */
    std::vector<declared<Definition>> withdrawn;

    bool empty() const { return added.empty() && changed.empty() && withdrawn.empty(); }

    friend bool operator==(const definition_changes&, const definition_changes&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.added, self.changed, self.withdrawn);
    }
};

/** A risk that an operator accepts by name, without which a dangerous change is refused. */
enum class accepted_risk {
    /** A region may be asked for more than it can bear. */
    RegionOverload,
    /** A service may be left without an upstream. */
    NoUpstream,
};

/** One declaration: a number, the number that it replaces, and the changes. */
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
