#pragma once

/** \file
 * Which upstreams of a region may be lent, by their announcements, their own reports, and the answers they give.
 */

#include <cstdint>
#include <map>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "model/upstream.h"
#include "ports/liveness_port.h"

namespace plantainlatch {

/** How reports of upstreams are judged. */
struct upstream_health_options {
    /** Unhealthy reports, or missing ones, in a row that count. */
    std::uint32_t reportsToDoubt = 3;
    /** An upstream that answered within this time is in order, whatever its reports say. */
    duration answerTrust = std::chrono::seconds(3);
    /** Reports are ignored when they would exclude more than this part of a service's upstreams, in percent. */
    std::uint32_t largestDoubtedPercent = 50;
};

/** Judges upstreams; observed answers go before reports, and a missing report is no report of health or load. */
class upstream_health {
public:
    upstream_health(upstream_health_options options, time_point begun);

    void noteReport(const upstream_id& id, const load_report& report);
    void noteMissingReport(const upstream_id& id);
    void noteAnswers(const upstream_id& id, time_point now);

    /** Whether the upstream announced itself lately; before the first one counts from the beginning. */
    bool announced(const upstream_id& id, const liveness_port& liveness, time_point now) const;
    /** Whether reports speak against new work on the upstream, given all upstreams of its service in the region. */
    bool doubted(const upstream_id& id, const std::vector<upstream_id>& members, time_point now) const;

private:
    struct record {
        std::uint32_t badReports = 0;
        bool draining = false;
        time_point answeredAt;
        bool answered = false;
    };

    bool speaksAgainst(const upstream_id& id, time_point now) const;

    upstream_health_options m_options;
    time_point m_begun;
    std::map<upstream_id, record> m_records;
};

} // namespace plantainlatch
