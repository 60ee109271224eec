#pragma once

/** \file
 * A token bucket that limits retries and hedges to a share of the requests.
 */

#include <cstdint>

namespace plantainlatch {

/** One retry or hedge is allowed for this many requests, which is 10 % of the traffic. */
inline constexpr std::uint64_t requestsPerRetry = 10;

/** The maximum number of unused retries that are saved for a burst. */
inline constexpr std::uint64_t maximumSavedRetries = 20;

/** Limits retries and hedges since the start of the VM to max(1, 10 % of the requests). */
class retry_budget {
public:
    /** Counts a new request; retries and hedges are not counted here. */
    void recordRequest();
    /** Charges one retry or hedge; returns false if the budget is exhausted. */
    bool tryAcquire();

    std::uint64_t requests() const { return m_requests; }
    std::uint64_t spent() const { return m_spent; }

private:
    std::uint64_t m_requests = 0;
    std::uint64_t m_spent = 0;
    /** The saved budget in units of requests. The first retry is granted in advance; so the first `requestsPerRetry`
     * requests add nothing. */
    std::uint64_t m_savedBudget = requestsPerRetry;
};

} // namespace plantainlatch
