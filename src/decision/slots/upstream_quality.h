#pragma once

/** \file
 * Passive health checks: the average latency of the upstreams as this VM observed it, and ejection of those that fail.
 */

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "ports/slot_port.h"

namespace plantainlatch {

struct upstream_quality_options {
    /** Consecutive failures that eject an upstream. */
    std::uint32_t failuresToEject = 3;
    /** Duration of the first ejection; it doubles with each further one until the upstream answers. */
    duration baseEjectionTime = std::chrono::seconds(2);
    duration maximumEjectionTime = std::chrono::seconds(30);
    /** After a refusal the upstream receives no requests for this time. */
    duration shedPause = std::chrono::milliseconds(50);
    /** Maximum percentage of a service's upstreams that is ejected at once. */
    std::uint32_t maximumEjectedPercent = 50;
    /** An answer is warm when its latency is at most this many times the average latency of the service. */
    std::uint32_t warmFactor = 3;
    /** Ejects failing upstreams; only tests turn it off. */
    bool ejects = true;
};

/** The observations of one VM. Those of an earlier generation of an upstream are dropped. */
class upstream_quality {
public:
    explicit upstream_quality(upstream_quality_options options);

    /** Records how the use of a slot ended. Returns whether it was a warm answer. */
    bool note(const upstream_announcement& upstream, const slot_result& result, time_point now);

    /** The ejected upstreams among `members`, the upstreams of a service in a region. If they exceed
     * `maximumEjectedPercent`, only those whose ejections end last are returned. */
    std::set<upstream_id> ejected(const std::vector<upstream_id>& members, time_point now) const;
    /** Whether the upstream refused a request within the last `shedPause`. */
    bool paused(const upstream_id& id, time_point now) const;

    /** The moving average of the time from dispatch to answer; zero before any answer. */
    duration latency(const upstream_id& id) const;
    duration serviceLatency(const service_id& service) const;

    /** Drops the observations of all other upstreams. */
    void keepOnly(const std::set<upstream_id>& known);

private:
    struct record {
        upstream_generation generation;
        duration latency {};
        std::uint32_t consecutiveFailures = 0;
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
