#include "decision/slots/measurement_recorder.h"

#include <algorithm>

namespace plantainlatch {

namespace {

    constexpr double medianRank = 0.5;
    constexpr double slowRank = 0.95;

    duration atRank(std::vector<duration>& latencies, double rank)
    {
        if (latencies.empty())
            return {};
        const auto position = static_cast<std::ptrdiff_t>(rank * static_cast<double>(latencies.size() - 1));
        const auto wanted = latencies.begin() + position;
        std::nth_element(latencies.begin(), wanted, latencies.end());
        return *wanted;
    }

} // namespace

void measurement_recorder::note(const upstream_announcement& upstream, const slot_result& result)
{
    using kind = slot_result::kind;
    if (result.ended == kind::Unused || result.ended == kind::Cancelled)
        return;
    place_record& place = m_places[{ upstream.service, upstream.failureDomain }];
    if (result.ended == kind::Shed) {
        ++place.refused;
        return;
    }
    if (result.ended != kind::Answered) {
        ++place.failed;
        return;
    }
    if (place.latencies.size() < maximumLatencies)
        place.latencies.push_back(result.latency);
    else
        place.latencies[place.answered % maximumLatencies] = result.latency;
    ++place.answered;
}

std::vector<service_measurement> measurement_recorder::take()
{
    std::vector<service_measurement> taken;
    taken.reserve(m_places.size());
    for (auto& [key, place] : m_places)
        taken.push_back({ key.first, key.second, place.answered, place.failed, place.refused,
            atRank(place.latencies, medianRank), atRank(place.latencies, slowRank) });
    m_places.clear();
    return taken;
}

} // namespace plantainlatch
