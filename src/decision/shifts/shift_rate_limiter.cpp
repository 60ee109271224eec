#include "decision/shifts/shift_rate_limiter.h"

#include <algorithm>
#include <utility>

#include "core/internal_assert.h"

namespace plantainlatch {

void shift_rate_limiter::allow(std::uint32_t perWindow, time_point until)
{
    m_perWindow = perWindow;
    m_until = until;
}

void shift_rate_limiter::moveTo(std::int64_t bucket)
{
    const std::int64_t count = bucketCount;
    const std::int64_t first = std::max(m_lastBucket + 1, bucket - count + 1);
    for (std::int64_t passed = first; passed <= bucket; ++passed)
        m_spent -= std::exchange(m_buckets[static_cast<std::size_t>(passed % count)], 0);
    m_lastBucket = std::max(m_lastBucket, bucket);
}

bool shift_rate_limiter::tryAcquire(time_point now)
{
    moveTo(bucketOf(now));
    if (m_spent >= held(now))
        return false;
    ++m_buckets[static_cast<std::size_t>(m_lastBucket % static_cast<std::int64_t>(bucketCount))];
    ++m_spent;
    internal_assert(m_spent <= m_perWindow) << m_spent << " spent of " << m_perWindow;
    return true;
}

} // namespace plantainlatch
