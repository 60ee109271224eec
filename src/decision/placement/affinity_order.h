#pragma once

/** \file
 * Computes the affinity order of an object, which is the order in which its requests prefer the upstreams of a service,
 * by weighted rendezvous hashing (Thaler and Ravishankar, 1998). The object is the affinity key of a request
 * (routing_policy::object).
 *
 * Upstreams answer faster for objects that they handled recently, so requests for one object should reach the same few
 * upstreams. All entries of a region compute the same order from the same directory. When an upstream joins or leaves,
 * only the objects that it gains or loses change their home, which is the first upstream in their order.
 */

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "model/upstream.h"

namespace plantainlatch {

/** The affinity orders of one service's objects, as the entries of one region compute them. */
class affinity_order {
public:
    affinity_order() = default;

    /** `demand` is each region's share of the service's requests, between 0 and 1; a region that is not in the map has
     * none. If this region's share of the slots is smaller than its share of the requests, only a fraction of its
     * objects (share of the slots / share of the requests) have their home in the region; the others have it in regions
     * with spare slots. */
    affinity_order(std::vector<upstream_announcement> upstreams, const region_id& ownRegion,
        const std::map<region_id, double>& demand);

    /** All upstreams in the affinity order of the object with this hash; for a request that names no object, pass a
     * random number. */
    std::vector<const upstream_announcement*> of(std::uint64_t object) const;

    /** The upstreams in no particular order. */
    std::vector<const upstream_announcement*> all() const;

    bool empty() const { return m_members.empty(); }

private:
    struct member {
        upstream_announcement upstream;
        std::uint64_t hash = 0;
        bool local = false;
        /** Its relative share of the objects among the local members, or among the remote ones. */
        double weight = 0;
    };

    std::vector<member> m_members;
    /** The fraction of the objects that have their home in this region. */
    double m_localShare = 1;
};

std::uint64_t objectHash(const std::string& name);

} // namespace plantainlatch
