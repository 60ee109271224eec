#pragma once

/** \file
 * Client accounts: who a request is made for, with its credentials and its quota.
 */

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"

namespace plantainlatch {

/** The limit on an account's requests, over all entries together: a token bucket. */
struct request_quota {
    /** Requests a second; 0 for no limit. */
    double ratePerSecond = 0;
    /** Requests beyond the rate, after a time without any. */
    double burst = 0;

    friend bool operator==(const request_quota&, const request_quota&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.ratePerSecond, self.burst);
    }
};

/** An account whose requests are identified by credentials. */
struct client_account {
    account_id id;
    /** A request that carries one of them belongs to the account. They are secrets: never logged or shown. */
    std::vector<std::string> credentials;
    /** Replaces the priority of the route; 0 is the highest. */
    std::optional<std::uint32_t> priority;
    request_quota quota;
    /** The regions whose upstreams may be used, within those of the route; any if empty. */
    std::vector<region_id> allowedRegions;

    friend bool operator==(const client_account&, const client_account&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.id, self.credentials, self.priority, self.quota, self.allowedRegions);
    }
};

} // namespace plantainlatch
