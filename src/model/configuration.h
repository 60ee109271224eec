#pragma once

/** \file
 * The configuration: the result of merging all declarations up to a number, or a configuration that was set as a whole.
 */

#include <map>
#include <set>
#include <utility>

#include "model/client_account.h"
#include "model/declaration.h"
#include "model/route.h"

namespace plantainlatch {

/** Identifies a share by service and failure domain. */
using share_key = std::pair<service_id, failure_domain_id>;

/** Identifies a link by its two regions in ascending order. */
using link_key = std::pair<region_id, region_id>;

/** Whose requests a configuration admits. */
enum class caller_admission {
    /** The configuration was stored before this field was added. */
    Unrecorded,
    /** Requests need no credential. */
    Everyone,
    /** Requests need a credential of an account, except on public routes. Without accounts, no credential is accepted.
     */
    AccountHolders,
};

/** All definitions by key. */
struct configuration {
    change_number number;
    std::map<region_id, region_definition> regions;
    std::map<link_key, link_definition> links;
    std::map<service_id, service_definition> services;
    std::map<share_key, share_definition> shares;
    std::map<upstream_id, upstream_definition> upstreams;
    /** Upstreams that an operator withdrew. Their announcements are refused until an operator adds them again. */
    std::set<upstream_id> withdrawnUpstreams;
    std::map<shift_id, shift_definition> shifts;
    std::vector<route_definition> routes;
    std::map<account_id, client_account> accounts;
    /** The source text of a configuration that was set as a whole; empty otherwise. */
    std::string document;
    /** Use needsCredential() to decide on a request. */
    caller_admission admission = caller_admission::Unrecorded;

    /** The number of fields before `accounts` was added. */
    static constexpr std::uint32_t requiredFields = 10;

    friend bool operator==(const configuration&, const configuration&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.number, self.regions, self.links, self.services, self.shares, self.upstreams,
            self.withdrawnUpstreams, self.shifts, self.routes, self.document, self.accounts, self.admission);
    }
};

/** Whether requests need a credential of an account, except on public routes. */
bool needsCredential(const configuration& config);

/** The region of a failure domain; empty if no region contains it. */
region_id regionOf(const configuration& config, const failure_domain_id& domain);

/** Whether a request with this method and target is idempotent. The service's rule with the longest matching prefix
 * decides. Without a matching rule, only HTTP's safe methods count as idempotent. */
bool isIdempotent(const service_definition& service, const std::string& method, const std::string& target);

} // namespace plantainlatch
