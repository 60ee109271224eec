#include "decision/placement/latency_model.h"

#include <algorithm>

namespace plantainlatch {

namespace {

    constexpr int averagedOver = 16;
    /** What an unseen route is expected to take, in objectives. */
    constexpr double knownPart = 0.5;
    constexpr double unknownPart = 1.4;
    /** An object is never expected to be faster where it is unknown. */
    constexpr double leastRatio = 1.5;

    void average(duration& kept, duration seen)
    {
        kept = kept == duration::zero() ? seen : kept + (seen - kept) / averagedOver;
    }

} // namespace

duration latency_model::expected(const route_id& route, object_state state, duration targetLatency) const
{
    const auto found = m_routes.find(route);
    const averages seen = found != m_routes.end() ? found->second : averages {};
    const duration known = seen.known != duration::zero() ? seen.known : scaled(targetLatency, knownPart);
    if (state != object_state::Unknown)
        return known;
    const duration unknown = seen.unknown != duration::zero() ? seen.unknown : scaled(targetLatency, unknownPart);
    return std::max(unknown, scaled(known, leastRatio));
}

void latency_model::observe(const route_id& route, object_state state, duration latency)
{
    if (state == object_state::Likely)
        return;
    averages& seen = m_routes[route];
    average(state == object_state::Known ? seen.known : seen.unknown, latency);
}

} // namespace plantainlatch
