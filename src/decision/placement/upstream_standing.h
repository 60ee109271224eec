#pragma once

/** \file
 * What this entry believes of one upstream, from its own requests and the upstream's reports.
 */

#include <cstdint>
#include <deque>
#include <optional>

#include "decision/placement/cold_gate.h"
#include "model/upstream.h"
#include "ports/slot_port.h"

namespace plantainlatch {

/** How requests to one upstream went, and what follows for the next one. */
class upstream_standing {
public:
    /** The upstream is cold until then, unless it is known to be so for longer. */
    void coolUntil(time_point until);
    /** The upstream said how long it still is cold. */
    void setColdUntil(time_point until) { m_coldUntil = until; }
    bool isCold(time_point now) const { return now < m_coldUntil; }
    cold_gate& gate() { return m_gate; }
    const cold_gate& gate() const { return m_gate; }

    /** A request was sent. */
    void begin() { ++m_own; }
    /** A request for an object ended; `expected` is what it was expected to take, or zero if that says nothing. */
    void end(const slot_result& result, std::uint64_t object, duration expected, time_point now);

    /** Nothing should be sent for now: it failed lately. */
    bool isShunned(time_point now) const { return now < m_shunnedUntil; }
    /** The part of its recent requests that failed or were refused. */
    double failureShare() const { return m_failureShare; }
    /** Takes the chance of one request to an upstream that fails more than this part; true when it is to be avoided. */
    bool avoids(double toleratedShare, time_point now);

    /** Requests that run or wait there, as far as is known. */
    std::uint32_t load(time_point now) const;
    std::uint32_t ownRequests() const { return m_own; }
    /** How many times as long as usual it takes. */
    double slowness(time_point now) const;
    /** Whether this entry lately got an answer on the object from there. */
    bool remembers(std::uint64_t object, time_point now) const;

private:
    struct handled_object {
        std::uint64_t object = 0;
        time_point at;
    };

    void shun(time_point now);
    void remember(std::uint64_t object, time_point now);
    void noteSlowness(double ratio, time_point now);

    std::uint32_t m_own = 0;
    std::uint32_t m_reported = 0;
    std::uint32_t m_ownAtReport = 0;
    std::optional<time_point> m_reportedAt;
    time_point m_coldUntil {};
    cold_gate m_gate;
    time_point m_shunnedUntil {};
    std::uint32_t m_failuresInRow = 0;
    double m_failureShare = 0;
    time_point m_nextChance {};
    double m_slowness = 1;
    time_point m_slownessAt {};
    std::deque<handled_object> m_handled;
};

} // namespace plantainlatch
