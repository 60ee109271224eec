#pragma once

/** \file
 * When upstreams were last heard of on this VM.
 */

#include <cstddef>
#include <map>
#include <optional>

#include "core/clock.h"
#include "model/control_snapshot.h"

namespace plantainlatch {

/** How many upstreams are tracked; the one heard longest ago goes first. */
inline constexpr std::size_t maximumTracked = 16384;

/** Remembers the last announcement of each upstream's generation, and since when this VM allocates each region. */
class liveness_tracker {
public:
    /** An announcement arrived here or was passed on. A generation below the last heard one is ignored. */
    void note(const upstream_id& id, upstream_generation generation, time_point now);

    /** This VM is, or is not, the allocator of the region. */
    void setAllocating(const region_id& region, bool allocating, time_point now);

    /** The last announcement of this generation, or when this VM became the region's allocator if that was later:
     * before then, announcements went elsewhere. None when neither is known. */
    std::optional<time_point> lastSeen(const upstream_announcement& upstream) const;

    /** Forgets upstreams that the directory does not hold and that were not heard of since `before`. */
    void forgetUnknown(const std::map<upstream_id, directory_record>& directory, time_point before);

    bool allocates(const region_id& region) const { return m_allocatingSince.contains(region); }

private:
    struct sighting {
        upstream_generation generation;
        time_point at {};
    };

    void dropOldest();

    std::map<upstream_id, sighting> m_sightings;
    std::map<region_id, time_point> m_allocatingSince;
};

} // namespace plantainlatch
