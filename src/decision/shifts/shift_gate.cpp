#include "decision/shifts/shift_gate.h"

namespace plantainlatch {

namespace {

    double latencyRatio(duration latency, duration baseline)
    {
        if (baseline <= duration::zero())
            return 1.0;
        return static_cast<double>(latency.count()) / static_cast<double>(baseline.count());
    }

} // namespace

shift_gate::health shift_gate::assess(const domain_statistics& statistics, duration baseline) const
{
    const double latency = latencyRatio(statistics.medianLatency, baseline);
    const double errors = statistics.errorRatio();
    if (latency > m_options.highLatencyRatio || errors > m_options.highErrorRatio)
        return health::Unhealthy;
    if (latency < m_options.lowLatencyRatio && errors < m_options.lowErrorRatio)
        return health::Healthy;
    return health::Marginal;
}

shift_advice shift_gate::evaluate(const std::optional<domain_statistics>& statistics, duration baseline, time_point now)
{
    if (!statistics.has_value() || statistics->requests < m_options.minimumRequests) {
        m_unhealthySince.reset();
        return shift_advice::Hold;
    }
    const health found = assess(*statistics, baseline);
    if (found != health::Unhealthy)
        m_unhealthySince.reset();
    else if (!m_unhealthySince.has_value())
        m_unhealthySince = now;

    if (m_unhealthySince.has_value() && now - *m_unhealthySince >= m_options.undoDelay) {
        m_undoneAt = now;
        m_unhealthySince = now + m_options.settlingTime;
        return shift_advice::Undo;
    }
    const bool cooldownEnded = !m_undoneAt.has_value() || now - *m_undoneAt >= m_options.cooldown;
    return found == health::Healthy && cooldownEnded ? shift_advice::Advance : shift_advice::Hold;
}

} // namespace plantainlatch
