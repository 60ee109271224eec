#pragma once

/** \file
 * How well upstreams answer, as this VM observed: latency, and ejection of those that fail.
 */

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "ports/slot_port.h"

namespace plantainlatch {

/** When upstreams are ejected and when an answer counts as warm. */
struct upstream_quality_options {
    /** Failures in a row that eject an upstream. */
    std::uint32_t failuresToEject = 3;
    duration shortestEjection = std::chrono::seconds(2);
    duration longestEjection = std::chrono::seconds(30);
    /** After a refusal the upstream gets no work for this long. */
    duration shedPause = std::chrono::milliseconds(50);
    /** At most this part of a service's upstreams in a region is ejected at once, in percent. */
    std::uint32_t largestEjectedPercent = 50;
    /** An answer is warm when it took at most this many times the usual latency of the service. */
    std::uint32_t warmFactor = 3;
    /** Ejects failing upstreams; only tests turn it off. */
    bool ejects = true;
};

/** Observations of one VM; those of an upstream's earlier generation do not count. */
class upstream_quality {
public:
    explicit upstream_quality(upstream_quality_options options);

    /** Notes how a use ended. Returns whether it was a warm answer. */
    bool note(const upstream_announcement& upstream, const slot_result& result, time_point now);

    /** The upstreams of a service in a region that should get no work now; never more than the allowed part of
     * `members`. */
    std::set<upstream_id> ejected(const std::vector<upstream_id>& members, time_point now) const;
    /** Whether the upstream just refused work. */
    bool paused(const upstream_id& id, time_point now) const;

    /** The usual time from dispatch to answer; zero before any answer. */
    duration latency(const upstream_id& id) const;
    duration serviceLatency(const service_id& service) const;

    /** Forgets upstreams that are no longer known. */
    void keepOnly(const std::set<upstream_id>& known);

private:
    struct record {
        upstream_generation generation;
        duration latency {};
        std::uint32_t failuresInRow = 0;
        std::uint32_t ejections = 0;
        time_point ejectedUntil;
        time_point pausedUntil;
    };

    bool noteAnswer(record& item, const service_id& service, duration latency);
    void noteFailure(record& item, time_point now);

    upstream_quality_options m_options;
    std::map<upstream_id, record> m_records;
    std::map<service_id, duration> m_serviceLatency;
};

} // namespace plantainlatch
