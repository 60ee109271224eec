#pragma once

/** \file
 * A token bucket that is one share of a quota.
 */

#include <algorithm>
#include <cstdint>

#include "core/clock.h"

namespace plantainlatch {

/** A part of a quota. */
struct quota_share {
    double ratePerSecond = 0;
    double capacity = 0;

    friend bool operator==(const quota_share&, const quota_share&) = default;
};

inline quota_share operator+(const quota_share& left, const quota_share& right)
{
    return { left.ratePerSecond + right.ratePerSecond, left.capacity + right.capacity };
}

/** The smaller of the rates and of the capacities. */
inline quota_share smallerOf(const quota_share& left, const quota_share& right)
{
    return { std::min(left.ratePerSecond, right.ratePerSecond), std::min(left.capacity, right.capacity) };
}

/** Admits requests within a share whose size may change. As long as the shares of a quota never add up to more than the
 * quota, the admitted requests of all of them stay within it in every window: no change of a share adds tokens, and the
 * tokens never exceed the share's capacity. Times must not decrease between calls. */
class quota_bucket {
public:
    /** `tokens` may be negative, as after an overdraft. */
    quota_bucket(const quota_share& share, double tokens, time_point now);

    /** Changes the share. Tokens beyond a smaller capacity are lost; a larger capacity fills at the rate. */
    void setShare(const quota_share& share, time_point now);
    /** Lets requests be admitted for up to so many tokens that the bucket doesn't have; these are repaid at the rate
     * before further requests are admitted without an overdraft. */
    void setOverdraft(double tokens) { m_overdraft = tokens; }
    bool tryAcquire(time_point now);
    /** Adds tokens that were taken from another share of the quota. */
    void put(double tokens, time_point now);
    /** Removes up to `maximum` tokens and returns how many. */
    double take(double maximum, time_point now);
    /** Returns the token of an admitted request, except if tokens were lost since at the capacity: without the request,
     * one more would have been lost. */
    void refund(time_point now);

    /** When a request will be admitted if none is until then; none if the share never admits one. */
    bool canAdmit() const;
    duration untilNext(time_point now);
    bool isFull(time_point now);
    const quota_share& share() const { return m_share; }

private:
    void refill(time_point now);
    void limitTokens();

    quota_share m_share;
    /** Negative if requests were admitted under an overdraft. */
    double m_tokens = 0;
    double m_overdraft = 0;
    time_point m_refilledAt;
    /** The number of requests admitted since tokens were last lost at the capacity. */
    std::uint64_t m_refundable = 0;
};

} // namespace plantainlatch
