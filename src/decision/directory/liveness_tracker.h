#pragma once

/** \file
 * Tracks on this VM when each upstream was last announced.
 */

#include <cstddef>
#include <map>
#include <optional>

#include "core/clock.h"
#include "model/control_snapshot.h"

namespace plantainlatch {

/** Maximum number of tracked upstreams; when it is exceeded, the one with the oldest announcement is dropped. */
inline constexpr std::size_t maximumTracked = 16384;

/** Holds when each upstream was last announced, and since when this VM has tracked each region's renewals. */
class liveness_tracker {
public:
    /** Records an announcement that was received here or forwarded to this VM; one of an earlier generation than the
     * last is ignored. */
    void note(const upstream_id& id, upstream_generation generation, time_point now);

    /** Sets whether this VM tracks the renewals of the region. */
    void setTracked(const region_id& region, bool tracked, time_point now);

    /** When this generation was last announced, or when this VM began to track the region's renewals if that was later,
     * as earlier announcements may have gone to another VM. None when neither is known. */
    std::optional<time_point> lastSeen(const upstream_announcement& upstream) const;

    /** Drops the upstreams that are not in the directory and were last announced before `before`. */
    void forgetUnknown(const std::map<upstream_id, directory_record>& directory, time_point before);

    bool tracks(const region_id& region) const { return m_trackedSince.contains(region); }

private:
    struct last_announcement {
        upstream_generation generation;
        time_point at {};
    };

    void dropOldest();

    std::map<upstream_id, last_announcement> m_lastAnnouncements;
    std::map<region_id, time_point> m_trackedSince;
};

} // namespace plantainlatch
