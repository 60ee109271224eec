#include "decision/placement/upstream_stats.h"

#include <algorithm>
#include <cmath>

namespace plantainlatch {

namespace {

    /** Older load reports are ignored. */
    constexpr duration reportLifetime = std::chrono::milliseconds(1500);
    /** A report of a slow machine says that it stays slow for about this long, since other work on the machine comes
     * and goes within half a second; the estimate is halved with the age of the report. */
    constexpr duration slowMachineSpan = std::chrono::milliseconds(250);
    constexpr duration slowMachineHalfLife = std::chrono::milliseconds(200);
    /** The first ejection lasts this long; each further failure in a row doubles it, up to the maximum. */
    constexpr duration minimumEjection = std::chrono::milliseconds(300);
    constexpr duration maximumEjection = std::chrono::seconds(3);
    constexpr std::uint32_t maximumDoublings = 4;
    constexpr double failureRateWeight = 0.12;
    /** An outlier gets one request per interval, so that its recovery is detected. */
    constexpr duration probeInterval = std::chrono::milliseconds(800);
    constexpr double slownessWeight = 0.2;
    constexpr double maximumSlowness = 8;
    constexpr duration slownessHalfLife = std::chrono::seconds(3);
    /** How many recently handled objects an upstream is assumed to hold in its cache, and for how long. */
    constexpr std::size_t maximumHandledObjects = 16;
    constexpr duration handledObjectLifetime = std::chrono::seconds(10);

    bool isFailure(slot_result::kind ended)
    {
        return ended == slot_result::kind::Failed || ended == slot_result::kind::Lost
            || ended == slot_result::kind::ConnectFailed || ended == slot_result::kind::Timeout;
    }

} // namespace

void upstream_stats::extendColdUntil(time_point until) { m_coldUntil = std::max(m_coldUntil, until); }

void upstream_stats::noteHandled(std::uint64_t object, time_point now)
{
    std::erase_if(m_handled, [object](const handled_object& item) { return item.object == object; });
    m_handled.push_back({ object, now });
    if (m_handled.size() > maximumHandledObjects)
        m_handled.pop_front();
}

void upstream_stats::noteResult(const slot_result& result, std::uint64_t object, duration expected, time_point now)
{
    m_ownRequests = m_ownRequests > 0 ? m_ownRequests - 1 : 0;
    if (result.metadata.load) {
        m_reportedLoad = result.metadata.load->running + result.metadata.load->queued;
        m_ownAtReport = m_ownRequests;
        m_reportedAt = now;
        m_reportedWorkTimeFactor = result.metadata.load->workTimeFactor;
    }
    if (result.metadata.coldFor)
        m_coldUntil = now + *result.metadata.coldFor;
    const bool neutral = result.ended == slot_result::kind::Unused || result.ended == slot_result::kind::Cancelled;
    if (neutral)
        return;
    const bool failed = isFailure(result.ended) || result.metadata.wrongInstance;
    const bool refused = result.ended == slot_result::kind::Shed;
    m_failureRate += failureRateWeight * ((failed || refused ? 1.0 : 0.0) - m_failureRate);
    if (result.ended == slot_result::kind::ConnectFailed || result.ended == slot_result::kind::Lost
        || result.metadata.wrongInstance)
        eject(now);
    if (result.ended == slot_result::kind::Answered) {
        m_consecutiveFailures = 0;
        noteHandled(object, now);
        if (expected > duration::zero())
            updateSlowness(static_cast<double>(result.latency.count()) / static_cast<double>(expected.count()), now);
    }
    if (result.ended == slot_result::kind::Timeout)
        updateSlowness(maximumSlowness, now);
}

void upstream_stats::eject(time_point now)
{
    const std::uint32_t doublings = std::min(m_consecutiveFailures, maximumDoublings);
    ++m_consecutiveFailures;
    m_ejectedUntil = now + std::min(maximumEjection, minimumEjection * (1U << doublings));
}

void upstream_stats::noteProbe(time_point now) { m_nextProbe = now + probeInterval; }

std::uint32_t upstream_stats::load(time_point now) const
{
    if (!m_reportedAt || now > *m_reportedAt + reportLifetime)
        return m_ownRequests;
    const std::uint32_t others = m_reportedLoad > m_ownAtReport ? m_reportedLoad - m_ownAtReport : 0;
    return m_ownRequests + others;
}

double upstream_stats::slowness(time_point now) const
{
    const double halfLives = std::chrono::duration<double>(now - m_slownessAt) / slownessHalfLife;
    return 1 + (m_slowness - 1) * std::exp2(-halfLives);
}

duration upstream_stats::slowMachineDelay(duration runTime, time_point now) const
{
    if (!m_reportedAt || m_reportedWorkTimeFactor <= 1)
        return {};
    const double halfLives = std::chrono::duration<double>(now - *m_reportedAt) / slowMachineHalfLife;
    const duration slowFor = scaled(slowMachineSpan, std::exp2(-halfLives));
    // While the machine is slow, the run progresses by only 1 / factor of the time that passes.
    const double lostShare = 1 - 1 / m_reportedWorkTimeFactor;
    return std::min(scaled(runTime, m_reportedWorkTimeFactor - 1), scaled(slowFor, lostShare));
}

void upstream_stats::updateSlowness(double ratio, time_point now)
{
    const double clampedRatio = std::clamp(ratio, 1 / maximumSlowness, maximumSlowness);
    const double current = slowness(now);
    m_slowness = current + slownessWeight * (clampedRatio - current);
    m_slownessAt = now;
}

bool upstream_stats::hasHandled(std::uint64_t object, time_point now) const
{
    return std::any_of(m_handled.begin(), m_handled.end(),
        [&](const handled_object& item) { return item.object == object && now < item.at + handledObjectLifetime; });
}

} // namespace plantainlatch
