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

    /** An average that was not observed for this long may be out of date. */
    constexpr duration averageLifetime = std::chrono::seconds(3);

} // namespace

duration latency_model::expected(
    const route_id& route, object_state state, duration targetLatency, time_point now) const
{
    const auto found = m_routes.find(route);
    const averages seen = found != m_routes.end() ? found->second : averages {};
    const duration known = estimate(seen.known, scaled(targetLatency, initialKnownFactor), now);
    if (state != object_state::Unknown)
        return known;
    const duration unknown = estimate(seen.unknown, scaled(targetLatency, initialUnknownFactor), now);
    return std::max(unknown, scaled(known, minimumUnknownRatio));
}

void latency_model::observe(const route_id& route, object_state state, duration latency, time_point now)
{
    if (state == object_state::Likely)
        return;
    averages& seen = m_routes[route];
    update(state == object_state::Known ? seen.known : seen.unknown, latency, now);
}

duration latency_model::estimate(const average& seen, duration initial, time_point now)
{
    if (seen.mean == duration::zero())
        return initial;
    return isOutdated(seen, now) ? std::min(seen.mean, initial) : seen.mean;
}

void latency_model::update(average& seen, duration sample, time_point now)
{
    const bool startsAnew = seen.mean == duration::zero() || (isOutdated(seen, now) && sample < seen.mean);
    seen.mean = startsAnew ? sample : seen.mean + (sample - seen.mean) / smoothingDivisor;
    seen.observedAt = now;
}

bool latency_model::isOutdated(const average& seen, time_point now) { return now > seen.observedAt + averageLifetime; }

} // namespace plantainlatch
