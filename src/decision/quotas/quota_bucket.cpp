#include "decision/quotas/quota_bucket.h"

#include <algorithm>

namespace plantainlatch {

namespace {

    /** A sum of fractions that should be one token may be less by rounding. */
    constexpr double oneToken = 1 - 1e-9;

    double seconds(duration span) { return std::chrono::duration<double>(span).count(); }

} // namespace

quota_bucket::quota_bucket(const quota_share& share, double tokens, time_point now)
    : m_share(share)
    , m_tokens(std::min(tokens, share.capacity))
    , m_refilledAt(now)
{
}

void quota_bucket::refill(time_point now)
{
    if (now <= m_refilledAt)
        return;
    m_tokens += m_share.ratePerSecond * seconds(now - m_refilledAt);
    m_refilledAt = now;
    limitTokens();
}

void quota_bucket::limitTokens()
{
    if (m_tokens <= m_share.capacity)
        return;
    m_tokens = m_share.capacity;
    m_refundable = 0;
}

void quota_bucket::setShare(const quota_share& share, time_point now)
{
    refill(now);
    m_share = share;
    limitTokens();
}

bool quota_bucket::tryAcquire(time_point now)
{
    refill(now);
    if (m_tokens + m_overdraft < oneToken)
        return false;
    m_tokens -= 1;
    if (m_overdraft <= 0)
        m_tokens = std::max(0.0, m_tokens);
    ++m_refundable;
    return true;
}

void quota_bucket::put(double tokens, time_point now)
{
    refill(now);
    m_tokens += tokens;
    limitTokens();
}

double quota_bucket::take(double maximum, time_point now)
{
    refill(now);
    const double taken = std::clamp(maximum, 0.0, std::max(0.0, m_tokens));
    m_tokens -= taken;
    return taken;
}

void quota_bucket::refund(time_point now)
{
    refill(now);
    if (m_refundable == 0)
        return;
    --m_refundable;
    m_tokens = std::min(m_share.capacity, m_tokens + 1);
}

bool quota_bucket::canAdmit() const { return m_share.ratePerSecond > 0 && m_share.capacity + m_overdraft >= oneToken; }

duration quota_bucket::untilNext(time_point now)
{
    refill(now);
    const double missing = std::max(0.0, 1 - m_tokens - m_overdraft);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(missing / m_share.ratePerSecond));
}

bool quota_bucket::isFull(time_point now)
{
    refill(now);
    return m_tokens >= m_share.capacity;
}

} // namespace plantainlatch
