#pragma once

/** \file
 * Routes: which requests go to which services, and with which limits and preferences.
 */

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/units.h"

namespace plantainlatch {

/** A service of a route, which receives requests in proportion to its weight. */
struct weighted_service {
    service_id service;
    double weight = 1;

    friend bool operator==(const weighted_service&, const weighted_service&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.service, self.weight);
    }
};

/** Applies to the requests of one host whose path begins with one prefix. */
struct route_definition {
    route_id id;
    std::string host;
    /** Begins and ends with a slash. If several routes match a path, the one with the longest prefix is used. */
    std::string pathPrefix;
    /** Whether requests may run more than once, so they can be retried after any failure. */
    bool idempotent = false;
    /** Upper bound on a request's deadline, counted from its arrival. */
    duration timeLimit {};
    /** The latency that routing aims for, counted from the request's arrival; a later answer is still useful. */
    duration targetLatency {};
    /** 0 is the highest priority. */
    std::uint32_t priority = 0;
    /** The maximum number of upstreams that one request is sent to. */
    std::uint32_t maximumAttempts = 1;
    /** Prefer the same upstream for all requests about one object, since an upstream answers faster for objects that it
     * handled recently. */
    bool sticky = false;
    /** The regions whose upstreams may be used; all regions if empty. */
    std::vector<region_id> allowedRegions;
    /** Requests need no credential, also where the configuration has client accounts. */
    bool isPublic = false;
    /** One service, or several among which the requests are split by weight. */
    std::vector<weighted_service> services;

    /** The number of fields before `isPublic` was added. */
    static constexpr std::uint32_t requiredFields = 11;

    friend bool operator==(const route_definition&, const route_definition&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.id, self.host, self.pathPrefix, self.idempotent, self.timeLimit, self.targetLatency, self.priority,
            self.maximumAttempts, self.sticky, self.allowedRegions, self.services, self.isPublic);
    }
};

} // namespace plantainlatch
