#pragma once

/** \file
 * Spends one VM's allowance of the cap of a shift.
 */

#include <array>
#include <cstdint>

#include "core/clock.h"

namespace plantainlatch {

/** Lets through at most the allowance within any window. It counts in buckets and rounds against the spender. */
class shift_rate_limiter {
public:
    explicit shift_rate_limiter(duration window)
        : m_bucketSpan(window / static_cast<std::int64_t>(bucketCount - 1))
    {
    }

    /** The allowance holds until then, on this VM's clock; an earlier one ends. */
    void allow(std::uint32_t perWindow, time_point until);
    /** Ends the allowance at once. */
    void forbid() { m_perWindow = 0; }

    /** Takes one request out of the allowance. */
    bool tryAcquire(time_point now);

    /** The allowance that holds now. */
    std::uint32_t held(time_point now) const { return now < m_until ? m_perWindow : 0; }

private:
    static constexpr std::size_t bucketCount = 23;

    std::int64_t bucketOf(time_point now) const { return now.time_since_epoch() / m_bucketSpan; }
    void moveTo(std::int64_t bucket);

    duration m_bucketSpan;
    std::uint32_t m_perWindow = 0;
    time_point m_until {};
    std::int64_t m_lastBucket = 0;
    std::uint32_t m_spent = 0;
    std::array<std::uint32_t, bucketCount> m_buckets {};
};

} // namespace plantainlatch
