#pragma once

/** \file
 * Routes: which requests go to which services, and under which terms.
 */

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/units.h"

namespace plantainlatch {

/** A service that takes a part of a route's requests, by weight. */
struct weighted_service {
    service_id service;
    double weight = 1;

    friend bool operator==(const weighted_service&, const weighted_service&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.service, self.weight);
    }
};

/** The requests of one host below one path, and the terms under which they are steered. */
struct route_definition {
    route_id id;
    std::string host;
    /** Begins and ends with a slash; the longest one that begins a path wins. */
    std::string pathPrefix;
    /** Its requests may run more than once. */
    bool idempotent = false;
    /** The longest that a request is kept waiting. */
    duration timeLimit {};
    /** The time within which an answer is worth most. */
    duration targetLatency {};
    /** 0 is the most urgent. */
    std::uint32_t priority = 0;
    /** The most upstreams that one request is offered to. */
    std::uint32_t maximumAttempts = 1;
    /** Upstreams work faster on objects that they handled lately. */
    bool sticky = false;
    /** The only regions that may serve it; any if empty. */
    std::vector<region_id> allowedRegions;
    /** One service, or several that share the requests by weight. */
    std::vector<weighted_service> services;

    friend bool operator==(const route_definition&, const route_definition&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.id, self.host, self.pathPrefix, self.idempotent, self.timeLimit, self.targetLatency, self.priority,
            self.maximumAttempts, self.sticky, self.allowedRegions, self.services);
    }
};

} // namespace plantainlatch
