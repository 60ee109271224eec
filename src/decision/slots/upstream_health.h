#pragma once

/** \file
 * Health checks of the upstreams of a region: announcements, polled load reports, and observed answers decide which
 * upstreams receive new requests.
 */

#include <cstdint>
#include <map>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "model/upstream.h"
#include "ports/liveness_port.h"

namespace plantainlatch {

struct upstream_health_options {
    /** Consecutive unhealthy or missing reports that make an upstream unhealthy. */
    std::uint32_t unhealthyThreshold = 3;
    /** Unhealthy reports of an upstream that answered a request within this time are ignored. */
    duration recentAnswerTime = std::chrono::seconds(3);
    /** Reports are ignored when they would exclude more than this percentage of a service's upstreams. */
    std::uint32_t maximumUnhealthyPercent = 50;
};

/** The health of the upstreams of one region. A missing report counts as an unhealthy one. Recent answers override
 * unhealthy reports, but not a report that the upstream is draining. */
class upstream_health {
public:
    upstream_health(upstream_health_options options, time_point startedAt);

    void noteReport(const upstream_id& id, const load_report& report);
    void noteMissingReport(const upstream_id& id);
    void noteAnswers(const upstream_id& id, time_point now);

    /** Whether the upstream's last announcement is recent enough; an announcement at `startedAt` is assumed. */
    bool recentlyAnnounced(const upstream_id& id, const liveness_port& liveness, time_point now) const;
    /** Whether the reports exclude the upstream from new requests. `members` are all upstreams of its service in the
     * region. */
    bool isUnhealthy(const upstream_id& id, const std::vector<upstream_id>& members, time_point now) const;

private:
    struct record {
        std::uint32_t unhealthyReports = 0;
        bool draining = false;
        time_point answeredAt;
        bool answered = false;
    };

    bool isReportedUnhealthy(const upstream_id& id, time_point now) const;

    upstream_health_options m_options;
    time_point m_startedAt;
    std::map<upstream_id, record> m_records;
};

} // namespace plantainlatch
