#pragma once

/** \file
 * The configuration in force: all declarations up to a number, merged.
 */

#include <map>
#include <set>
#include <utility>

#include "model/declaration.h"
#include "model/route.h"

namespace plantainlatch {

/** Names a share: a service and a failure domain. */
using share_key = std::pair<service_id, failure_domain_id>;

/** Names a link: two regions, the lesser first. */
using link_key = std::pair<region_id, region_id>;

/** Everything declared, by name. A value: a change makes a new one. */
struct configuration {
    change_number number;
    std::map<region_id, region_definition> regions;
    std::map<link_key, link_definition> links;
    std::map<service_id, service_definition> services;
    std::map<share_key, share_definition> shares;
    std::map<upstream_id, upstream_definition> upstreams;
    /** Upstreams that an operator withdrew; their announcements are refused until they are added again. */
    std::set<upstream_id> withdrawnUpstreams;
    std::map<shift_id, shift_definition> shifts;
    std::vector<route_definition> routes;
    /** What the operator wrote, when the configuration was put as a whole; empty otherwise. */
    std::string document;

    friend bool operator==(const configuration&, const configuration&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.number, self.regions, self.links, self.services, self.shares, self.upstreams,
            self.withdrawnUpstreams, self.shifts, self.routes, self.document);
    }
};

/** The region of a failure domain; empty when no region has it. */
region_id regionOf(const configuration& config, const failure_domain_id& domain);

/** Whether a request of this method and target is idempotent: by the longest matching rule, else by HTTP's safe
 * methods. */
bool isIdempotent(const service_definition& service, const std::string& method, const std::string& target);

} // namespace plantainlatch
