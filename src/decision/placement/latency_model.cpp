#include "decision/placement/latency_model.h"

#include <algorithm>

namespace plantainlatch {

namespace {

    constexpr int smoothingDivisor = 16;
    /** The expected latency of a route without observations, as a multiple of its target latency. */
    constexpr double initialKnownFactor = 0.5;
    constexpr double initialUnknownFactor = 1.4;
    /** The minimum ratio of the latency for unknown objects to that for known ones. */
    constexpr double minimumUnknownRatio = 1.5;

    void updateAverage(duration& mean, duration sample)
    {
        mean = mean == duration::zero() ? sample : mean + (sample - mean) / smoothingDivisor;
    }

} // namespace

duration latency_model::expected(const route_id& route, object_state state, duration targetLatency) const
{
    const auto found = m_routes.find(route);
    const averages seen = found != m_routes.end() ? found->second : averages {};
    const duration known = seen.known != duration::zero() ? seen.known : scaled(targetLatency, initialKnownFactor);
    if (state != object_state::Unknown)
        return known;
    const duration unknown
        = seen.unknown != duration::zero() ? seen.unknown : scaled(targetLatency, initialUnknownFactor);
    return std::max(unknown, scaled(known, minimumUnknownRatio));
}

void latency_model::observe(const route_id& route, object_state state, duration latency)
{
    if (state == object_state::Likely)
        return;
    averages& seen = m_routes[route];
    updateAverage(state == object_state::Known ? seen.known : seen.unknown, latency);
}

} // namespace plantainlatch
