#pragma once

/** \file
 * The budget that retries and hedges share.
 */

#include <cstdint>

namespace plantainlatch {

/** Every so many requests earn one retry or hedge: 10 % of the traffic. */
inline constexpr std::uint64_t requestsPerRetry = 10;

/** The most retries saved up for a burst. */
inline constexpr std::uint64_t maximumSavedRetries = 20;

/** Earned by first attempts, spent by retries and hedges; over any start it spends at most max(1, 10 % of requests). */
class retry_budget {
public:
    /** A request came for the first time. */
    void earn();
    /** Takes one retry or hedge; false when the budget is spent. */
    bool spend();

    std::uint64_t requests() const { return m_requests; }
    std::uint64_t spent() const { return m_spent; }

private:
    std::uint64_t m_requests = 0;
    std::uint64_t m_spent = 0;
    /** In requests earned; the first retry is lent, and the first ten requests pay for it. */
    std::uint64_t m_saved = requestsPerRetry;
};

} // namespace plantainlatch
