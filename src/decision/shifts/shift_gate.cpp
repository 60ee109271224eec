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
    if (latency > m_options.highLatency || errors > m_options.highErrorRatio)
        return health::Suffering;
    if (latency < m_options.lowLatency && errors < m_options.lowErrorRatio)
        return health::Well;
    return health::Between;
}

shift_advice shift_gate::judge(const std::optional<domain_statistics>& statistics, duration baseline, time_point now)
{
    if (!statistics.has_value() || statistics->requests < m_options.minimumRequests) {
        m_sufferingSince.reset();
        return shift_advice::Hold;
    }
    const health found = assess(*statistics, baseline);
    if (found != health::Suffering)
        m_sufferingSince.reset();
    else if (!m_sufferingSince.has_value())
        m_sufferingSince = now;

    if (m_sufferingSince.has_value() && now - *m_sufferingSince >= m_options.undoDelay) {
        m_undoneAt = now;
        m_sufferingSince = now + m_options.settle;
        return shift_advice::Undo;
    }
    const bool isCalm = !m_undoneAt.has_value() || now - *m_undoneAt >= m_options.calm;
    return found == health::Well && isCalm ? shift_advice::Advance : shift_advice::Hold;
}

} // namespace plantainlatch
