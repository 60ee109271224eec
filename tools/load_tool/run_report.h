#pragma once

/** \file
 * Statistics of a load run: counts by outcome and a latency histogram.
 */

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "core/clock.h"
#include "load_tool/load_options.h"

namespace plantainlatch {

/** The result of one request. */
struct request_end {
    work_kind kind = work_kind::Idempotent;
    /** The outcome in the answer; without an answer, `not-sent` if nothing was sent, else `no-answer`. */
    std::string outcome;
    std::string reason;
    int status = 0;
    /** Whether the answer is complete and names this request. */
    bool ownAnswer = false;
    /** Measured from the scheduled send time. */
    duration latency {};
};

/** Collects the results of a run and formats them as text and JSON. */
class run_report {
public:
    run_report();
    ~run_report();
    run_report(const run_report&) = delete;
    run_report& operator=(const run_report&) = delete;

    void sent(work_kind kind) { ++m_sent[workKindName(kind)]; }
    void resent() { ++m_resent; }
    void ended(const request_end& end);
    void setLookups(std::uint64_t all, std::uint64_t failed);
    void setElapsed(duration elapsed) { m_elapsed = elapsed; }

    /** Whether every request that was sent was served (an upstream's complete answer that names the request, with a
     * status below 300) and no answer named another request. */
    bool allServed() const;

    std::string json() const;
    std::string text() const;

private:
    struct histogram;

    std::uint64_t sentCount() const;
    duration quantile(double share) const;

    std::map<std::string, std::uint64_t> m_sent;
    std::map<std::string, std::uint64_t> m_outcomes;
    std::map<std::string, std::uint64_t> m_reasons;
    std::map<int, std::uint64_t> m_statuses;
    std::map<std::string, std::uint64_t> m_served;
    std::uint64_t m_answered = 0;
    std::uint64_t m_servedCount = 0;
    std::uint64_t m_foreignAnswers = 0;
    std::uint64_t m_resent = 0;
    std::uint64_t m_lookups = 0;
    std::uint64_t m_failedLookups = 0;
    duration m_slowest {};
    duration m_elapsed {};
    std::unique_ptr<histogram> m_latencies;
};

} // namespace plantainlatch
