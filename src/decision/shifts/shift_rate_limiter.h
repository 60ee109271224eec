#pragma once

/** \file
 * Limits the rate of one VM's requests under its quota of a shift's cap.
 */

#include <array>
#include <cstdint>

#include "core/clock.h"

namespace plantainlatch {

/** A sliding-window rate limiter: admits at most the quota within any window. Requests are counted in buckets. Together
 * these cover one bucket more than the window, so that rounding to buckets never admits more than the quota. */
class shift_rate_limiter {
public:
    explicit shift_rate_limiter(duration window)
        : m_bucketSpan(window / static_cast<std::int64_t>(bucketCount - 1))
    {
    }

    /** Replaces the quota; the new one is valid until `until`, on this VM's clock. */
    void setQuota(std::uint32_t perWindow, time_point until);
    /** Sets the quota to 0. */
    void clearQuota() { m_quota = 0; }

    /** Admits one request if the quota allows it. */
    bool tryAcquire(time_point now);

    /** The quota that is valid now; 0 if there is none. */
    std::uint32_t held(time_point now) const { return now < m_validUntil ? m_quota : 0; }

private:
    static constexpr std::size_t bucketCount = 23;

    std::int64_t bucketOf(time_point now) const { return now.time_since_epoch() / m_bucketSpan; }
    void moveTo(std::int64_t bucket);

    duration m_bucketSpan;
    std::uint32_t m_quota = 0;
    time_point m_validUntil {};
    std::int64_t m_lastBucket = 0;
    std::uint32_t m_admitted = 0;
    std::array<std::uint32_t, bucketCount> m_buckets {};
};

} // namespace plantainlatch
