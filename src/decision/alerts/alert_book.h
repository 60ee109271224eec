#pragma once

/** \file
 * Turns noisy conditions into alerts that are raised once and resolve by themselves.
 */

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "ports/operator_port.h"

namespace plantainlatch {

/** A promise that is at risk at the moment. */
struct risk_condition {
    /** Names the risk; the same risk keeps its name over time and over leaders. */
    std::string id;
    std::string promise;
    std::string what;
    /** What the system does about it. */
    std::string action;
    /** How long the risk has to hold, less the time in which it did not, before anybody is told. */
    duration raiseAfter {};
};

/** How a condition becomes an alert; see test/performance/alert_benchmark.cpp for what each one costs. */
enum class alert_filter {
    /** At once, and back at once. */
    Plain,
    /** After it held without a break, and back after a break. */
    Unbroken,
    /** After it held for long enough, less the time in which it did not; back after as much calm. */
    Leaky,
};

/** What an update raised and resolved. */
struct alert_changes {
    std::vector<alert> raised;
    std::vector<alert> resolved;
};

/** The alerts of one VM. */
class alert_book {
public:
    explicit alert_book(alert_filter filter)
        : m_filter(filter)
    {
    }

    /** Takes in the conditions that hold now; all others do not. */
    alert_changes update(const std::vector<risk_condition>& conditions, time_point now, wall_time wallNow);

    std::vector<alert> active() const;

private:
    /** Conditions that are followed at once; further ones wait until others end. */
    static constexpr std::size_t maximumFollowed = 256;

    struct followed {
        risk_condition condition;
        /** For how long it held, less the time in which it did not. */
        duration score {};
        bool holds = false;
        bool raised = false;
        wall_time since {};
    };

    void follow(const std::vector<risk_condition>& conditions);
    void settle(followed& item, duration passed) const;
    bool isCalm(const followed& item) const;
    static alert shown(const followed& item);

    alert_filter m_filter;
    time_point m_updatedAt {};
    std::map<std::string, followed> m_followed;
};

} // namespace plantainlatch
