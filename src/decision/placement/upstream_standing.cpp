#include "decision/placement/upstream_standing.h"

#include <algorithm>
#include <cmath>

namespace plantainlatch {

namespace {

    /** A report says nothing of the load after this time. */
    constexpr duration reportLife = std::chrono::milliseconds(1500);
    /** How long a failed upstream is shunned at first; each further failure in a row doubles it. */
    constexpr duration shortestShun = std::chrono::milliseconds(300);
    constexpr duration longestShun = std::chrono::seconds(3);
    constexpr std::uint32_t mostDoublings = 4;
    constexpr double failureWeight = 0.12;
    /** An avoided upstream gets single requests, so that its recovery is seen. */
    constexpr duration chanceInterval = std::chrono::milliseconds(800);
    constexpr double slownessWeight = 0.2;
    constexpr double largestSlowness = 8;
    /** Slowness that is not seen again is believed half as much after this time. */
    constexpr duration slownessHalfLife = std::chrono::seconds(3);
    /** Objects that an upstream is believed to keep, and for how long. */
    constexpr std::size_t rememberedObjects = 16;
    constexpr duration objectMemory = std::chrono::seconds(10);

    bool isFailure(slot_result::kind ended)
    {
        return ended == slot_result::kind::Failed || ended == slot_result::kind::Lost
            || ended == slot_result::kind::ConnectFailed || ended == slot_result::kind::Timeout;
    }

} // namespace

void upstream_standing::coolUntil(time_point until) { m_coldUntil = std::max(m_coldUntil, until); }

void upstream_standing::remember(std::uint64_t object, time_point now)
{
    std::erase_if(m_handled, [object](const handled_object& item) { return item.object == object; });
    m_handled.push_back({ object, now });
    if (m_handled.size() > rememberedObjects)
        m_handled.pop_front();
}

void upstream_standing::end(const slot_result& result, std::uint64_t object, duration expected, time_point now)
{
    m_own = m_own > 0 ? m_own - 1 : 0;
    if (result.metadata.load) {
        m_reported = result.metadata.load->running + result.metadata.load->queued;
        m_ownAtReport = m_own;
        m_reportedAt = now;
    }
    if (result.metadata.coldFor)
        m_coldUntil = now + *result.metadata.coldFor;
    const bool neutral = result.ended == slot_result::kind::Unused || result.ended == slot_result::kind::Cancelled;
    if (neutral)
        return;
    const bool failed = isFailure(result.ended) || result.metadata.wrongInstance;
    const bool refused = result.ended == slot_result::kind::Shed;
    m_failureShare += failureWeight * ((failed || refused ? 1.0 : 0.0) - m_failureShare);
    if (result.ended == slot_result::kind::ConnectFailed || result.ended == slot_result::kind::Lost
        || result.metadata.wrongInstance)
        shun(now);
    if (result.ended == slot_result::kind::Answered) {
        m_failuresInRow = 0;
        remember(object, now);
        if (expected > duration::zero())
            noteSlowness(static_cast<double>(result.latency.count()) / static_cast<double>(expected.count()), now);
    }
    if (result.ended == slot_result::kind::Timeout)
        noteSlowness(largestSlowness, now);
}

void upstream_standing::shun(time_point now)
{
    const std::uint32_t doublings = std::min(m_failuresInRow, mostDoublings);
    ++m_failuresInRow;
    m_shunnedUntil = now + std::min(longestShun, shortestShun * (1U << doublings));
}

bool upstream_standing::avoids(double toleratedShare, time_point now)
{
    if (m_failureShare < toleratedShare)
        return false;
    if (now < m_nextChance)
        return true;
    m_nextChance = now + chanceInterval;
    return false;
}

std::uint32_t upstream_standing::load(time_point now) const
{
    if (!m_reportedAt || now > *m_reportedAt + reportLife)
        return m_own;
    const std::uint32_t others = m_reported > m_ownAtReport ? m_reported - m_ownAtReport : 0;
    return m_own + others;
}

double upstream_standing::slowness(time_point now) const
{
    const double halves = std::chrono::duration<double>(now - m_slownessAt) / slownessHalfLife;
    return 1 + (m_slowness - 1) * std::exp2(-halves);
}

void upstream_standing::noteSlowness(double ratio, time_point now)
{
    const double seen = std::clamp(ratio, 1 / largestSlowness, largestSlowness);
    const double before = slowness(now);
    m_slowness = before + slownessWeight * (seen - before);
    m_slownessAt = now;
}

bool upstream_standing::remembers(std::uint64_t object, time_point now) const
{
    return std::any_of(m_handled.begin(), m_handled.end(),
        [&](const handled_object& item) { return item.object == object && now < item.at + objectMemory; });
}

} // namespace plantainlatch
