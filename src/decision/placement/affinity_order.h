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

#include "absl/container/flat_hash_map.h"
#include "model/upstream.h"

namespace plantainlatch {

class affinity_walk;

/** The affinity orders of one service's objects, as the entries of one region compute them. */
class affinity_order {
public:
    /** `demand` is each region's share of the service's requests, between 0 and 1; a region that is not in the map has
     * none. If this region's share of the slots is smaller than its share of the requests, only a fraction of its
     * objects (share of the slots / share of the requests) have their home in the region; the others have it in regions
     * with spare slots. */
    affinity_order(const region_id& ownRegion, const std::map<region_id, double>& demand);

    /** Adds an upstream or replaces its announcement. Takes constant time for a fixed number of regions. */
    void put(const upstream_announcement& upstream);
    void remove(const upstream_id& id);

    /** Starts a walk through the upstreams in the affinity order of the object with this hash; for a request that names
     * no object, pass a random number. A change of the order invalidates the walk. */
    affinity_walk walk(std::uint64_t object) const;

    /** The upstreams in no particular order. */
    std::vector<const upstream_announcement*> all() const;

    bool empty() const { return m_members.empty(); }

private:
    friend class affinity_walk;

    /** A region that has upstreams or demand. */
    struct region_share {
        region_id region;
        bool local = false;
        double demand = 0;
        double slots = 0;
        /** Multiplied by an upstream's slots, this gives its relative share of the objects among the upstreams of this
         * region, or among those of all other regions. */
        double weight = 1;
    };
    struct member {
        upstream_announcement upstream;
        std::uint64_t hash = 0;
        std::size_t region = 0;
    };

    std::size_t regionIndex(const region_id& region);
    void updateShares();

    region_id m_ownRegion;
    std::vector<region_share> m_regions;
    std::vector<member> m_members;
    absl::flat_hash_map<upstream_id, std::size_t> m_positions;
    /** The fraction of the objects that have their home in this region. */
    double m_localShare = 1;
};

/** Visits upstreams in the affinity order of one object. Most requests need only the first few of many upstreams, so
 * these are selected one by one. */
class affinity_walk {
public:
    /** The next upstream; nullptr after the last one. */
    const upstream_announcement* next();

private:
    friend class affinity_order;

    struct ranked_member {
        double score = 0;
        const affinity_order::member* item = nullptr;
    };

    affinity_walk(const affinity_order& order, std::uint64_t object, bool local);

    void rank();
    static bool isBehind(const ranked_member& left, const ranked_member& right);

    const affinity_order& m_order;
    std::uint64_t m_object;
    /** Whether the upstreams being visited are those of this region or the others. */
    bool m_local;
    bool m_isSecondGroup = false;
    /** A heap with the next upstream on top. */
    std::vector<ranked_member> m_ranked;
};

std::uint64_t objectHash(const std::string& name);

} // namespace plantainlatch
