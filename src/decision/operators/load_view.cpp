#include "decision/operators/load_view.h"

namespace plantainlatch {

namespace {

    /** Loads received from the leader are valid for this long. */
    constexpr duration maximumLoadAge = std::chrono::seconds(5);

    /** Loads are averaged over this time. */
    constexpr duration measurementSpan = std::chrono::seconds(5);

} // namespace

load_view::load_view()
    : m_measurements(measurementSpan)
{
}

void load_view::beginTerm(time_point now)
{
    m_measurements.clear();
    m_incompleteUntil = now + measurementSpan;
}

void load_view::handleHeartbeat(
    const configuration& config, const vm_heartbeat& heartbeat, heartbeat_answer& answer, time_point now)
{
    m_measurements.add(heartbeat, now);
    if (!heartbeat.measured)
        m_incompleteUntil = now + measurementSpan;
    answer.loadsKnown = now >= m_incompleteUntil;
    for (const auto& [service, definition] : config.services) {
        for (const auto& [region, regionDefinition] : config.regions) {
            for (const failure_domain_id& domain : regionDefinition.failureDomains) {
                const std::optional<domain_statistics> statistics = m_measurements.statistics(service, domain, now);
                if (statistics.has_value())
                    answer.loads.push_back({ service, domain, statistics->perSecond, statistics->medianLatency });
            }
        }
    }
}

void load_view::receive(const heartbeat_answer& answer, time_point now)
{
    m_known = answer.loadsKnown;
    m_receivedAt = now;
    m_loads = answer.loads;
    m_lowestInForce = answer.lowestInForce;
}

bool load_view::known(time_point now) const { return m_known && now - m_receivedAt <= maximumLoadAge; }

} // namespace plantainlatch
