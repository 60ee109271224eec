#pragma once

/** \file
 * What upstreams stated in their answers to this entry about the requests that they don't want.
 *
 * A statement binds this entry for as long as the generation of the upstream lives, whatever the directory says
 * meanwhile: announcements can arrive late, and an upstream's record can expire and return.
 */

#include <cstddef>

#include "absl/container/flat_hash_map.h"
#include "core/clock.h"
#include "decision/control/apply_directory.h"
#include "model/upstream.h"

namespace plantainlatch {

/** The statements of the latest known generation of each upstream. They also hold for earlier generations, which have
 * ended. */
class reported_unavailability {
public:
    /** Beyond `maximumCount` upstreams, the statements of the upstream that was first recorded are forgotten: it has
     * most likely ended. By default this is the number of upstreams that the directory knows at most. */
    explicit reported_unavailability(std::size_t maximumCount = maximumUpstreams + maximumDeparted);

    /** Records that a generation of an upstream is draining. Returns whether this was unknown. */
    bool noteDraining(const upstream_id& id, upstream_generation generation, time_point now);
    /** Whether the upstream stated that it is draining. */
    bool isDraining(const upstream_id& id, upstream_generation generation) const;

    /** Records that a generation of an upstream wants no requests for this time. Returns whether it wanted some until
     * now. */
    bool notePause(const upstream_id& id, upstream_generation generation, duration pause, time_point now);
    /** For how long the upstream wants no requests; zero if it wants some. */
    duration remainingPause(const upstream_id& id, upstream_generation generation, time_point now) const;

    /** The number of upstreams with statements. */
    std::size_t size() const { return m_records.size(); }

private:
    struct record {
        upstream_generation generation;
        time_point recordedAt;
        bool draining = false;
        time_point pausedUntil {};
    };

    /** The record of this generation, new if necessary; null if a later generation has a record. */
    record* recordOf(const upstream_id& id, upstream_generation generation, time_point now);
    void forgetEarliest();
    /** The record that holds for the generation; null if there is none. */
    const record* find(const upstream_id& id, upstream_generation generation) const;

    std::size_t m_maximumCount;
    absl::flat_hash_map<upstream_id, record> m_records;
};

} // namespace plantainlatch
