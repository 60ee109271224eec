#include "decision/shifts/shift_rate_limiter.h"

#include <algorithm>
#include <utility>

#include "core/internal_assert.h"

namespace plantainlatch {

void shift_rate_limiter::setQuota(std::uint32_t perWindow, time_point until)
{
    m_quota = perWindow;
    m_validUntil = until;
}

void shift_rate_limiter::moveTo(std::int64_t bucket)
{
    const std::int64_t count = bucketCount;
    const std::int64_t first = std::max(m_lastBucket + 1, bucket - count + 1);
    for (std::int64_t passed = first; passed <= bucket; ++passed)
        m_admitted -= std::exchange(m_buckets[static_cast<std::size_t>(passed % count)], 0);
    m_lastBucket = std::max(m_lastBucket, bucket);
}

bool shift_rate_limiter::tryAcquire(time_point now)
{
    moveTo(bucketOf(now));
    if (m_admitted >= held(now))
        return false;
    ++m_buckets[static_cast<std::size_t>(m_lastBucket % static_cast<std::int64_t>(bucketCount))];
    ++m_admitted;
    internal_assert(m_admitted <= m_quota) << m_admitted << " admitted under a quota of " << m_quota;
    return true;
}

} // namespace plantainlatch
