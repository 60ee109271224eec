#pragma once

/** \file
 * The steady order in which the upstreams of a service are tried for an object.
 *
 * Upstreams answer faster on objects that they handled lately, so each object keeps to few of them. Every entry of a
 * region computes the same order from the same directory, by weighted rendezvous hashing (Thaler and Ravishankar,
 * 1998): an upstream that joins or leaves moves only the objects that it gains or loses.
 */

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "model/upstream.h"

namespace plantainlatch {

/** The upstreams of one service as one region's entries see them. */
class home_order {
public:
    home_order() = default;

    /** `demand` is each region's share of the service's requests; regions that it doesn't name have none. A region with
     * a smaller part of the slots than of the requests keeps only as many objects as it has slots for; the others have
     * their homes in the regions with slots to spare. */
    home_order(std::vector<upstream_announcement> upstreams, const region_id& ownRegion,
        const std::map<region_id, double>& demand);

    /** The upstreams in the order of an object; an object without a name may be any number. */
    std::vector<const upstream_announcement*> of(std::uint64_t object) const;

    /** The upstreams in no particular order. */
    std::vector<const upstream_announcement*> all() const;

    bool empty() const { return m_members.empty(); }

private:
    struct member {
        upstream_announcement upstream;
        std::uint64_t hash = 0;
        bool local = false;
        /** Its part of the objects that its side of the order gets. */
        double weight = 0;
    };

    std::vector<member> m_members;
    /** The part of the objects that this region keeps. */
    double m_kept = 1;
};

/** The number of a named object. */
std::uint64_t objectNumber(const std::string& name);

} // namespace plantainlatch
