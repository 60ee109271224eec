#pragma once

/** \file
 * When planned work was done in a soak run: stops and reloads of entries, and changes of the configuration.
 */

#include <map>

#include "core/clock.h"

namespace plantainlatch {

/** Tells whether the end of a request falls into planned work, as the users' rule LOST delimits it. */
class planned_work {
public:
    void noteStop(int entry, time_point at) { m_stops[entry] = at; }
    void noteReload(int entry, time_point at) { m_reloads[entry] = at; }
    void noteConfigurationSent(time_point at);
    void noteConfigurationAcknowledged(time_point at);

    /** Whether a request that was sent whole to `entry` at `sentAt` and cut at `endedAt` counts as cut by planned work.
     */
    bool isAround(int entry, time_point sentAt, time_point endedAt) const;

    /** Whether an entry may give up work at the end of its stop: in the last sixth of `grace-s`, for a request that was
     * sent no later than 3 s after the SIGTERM. */
    bool isEndOfStop(int entry, time_point sentAt, time_point endedAt) const;

private:
    bool isAroundStop(int entry, time_point sentAt, time_point endedAt) const;
    bool isAroundReload(int entry, time_point sentAt, time_point endedAt) const;

    /** The last ones. */
    std::map<int, time_point> m_stops;
    std::map<int, time_point> m_reloads;
    /** The period in which the last changes may come into force. */
    time_point m_changesBegin = time_point::max();
    time_point m_changesEnd = time_point::min();
};

} // namespace plantainlatch
