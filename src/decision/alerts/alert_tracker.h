#pragma once

/** \file
 * Filters noisy risk conditions into alerts. Each risk is raised once and resolves on its own after the condition has
 * been clear for long enough.
 */

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "ports/operator_port.h"

namespace plantainlatch {

/** A condition that currently puts a guarantee of the system (its `promise`) at risk. */
struct risk_condition {
    /** Identifies the risk; it stays the same over time and across changes of the leader. */
    std::string id;
    std::string promise;
    std::string what;
    /** How the system reacts to the risk. */
    std::string action;
    /** How long the condition must hold until an alert is raised; the filter defines how interruptions count. */
    duration raiseAfter {};
};

/** When a condition raises and resolves an alert; test/performance/alert_benchmark.cpp compares the filters by false,
 * missed and repeated alerts. */
enum class alert_filter {
    /** Raised and resolved without delay. */
    Plain,
    /** Raised after the condition has held for `raiseAfter` without interruption; resolved as soon as it ends. */
    Unbroken,
    /** A leaky integrator: the score rises while the condition holds and falls while it does not. Raised when the score
     * reaches `raiseAfter`; resolved when the score is back at zero. */
    Leaky,
};

/** The alerts that an update raised and resolved. */
struct alert_changes {
    std::vector<alert> raised;
    std::vector<alert> resolved;
};

/** Tracks the risk conditions that one VM observes, and the alerts raised for them. */
class alert_tracker {
public:
    explicit alert_tracker(alert_filter filter)
        : m_filter(filter)
    {
    }

    /** Updates all tracked risks; `conditions` holds every condition that holds now. */
    alert_changes update(const std::vector<risk_condition>& conditions, time_point now, wall_time wallNow);

    std::vector<alert> active() const;

private:
    /** The most risks tracked at a time; further conditions are ignored until tracked ones have cleared. */
    static constexpr std::size_t maximumTracked = 256;

    struct tracked_risk {
        risk_condition condition;
        /** For how long the condition has held, as counted by the filter. */
        duration score {};
        bool holds = false;
        bool raised = false;
        wall_time since {};
    };

    void track(const std::vector<risk_condition>& conditions);
    void updateScore(tracked_risk& item, duration elapsed) const;
    bool hasCleared(const tracked_risk& item) const;
    static alert toAlert(const tracked_risk& item);

    alert_filter m_filter;
    time_point m_updatedAt {};
    std::map<std::string, tracked_risk> m_tracked;
};

} // namespace plantainlatch
