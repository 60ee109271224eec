#include "decision/slots/slot_reporting.h"

#include <algorithm>
#include <utility>

namespace plantainlatch {

slot_reporting::slot_reporting(slot_reporting_view view, slot_reporting_options options)
    : m_view(view)
    , m_options(options)
{
}

void slot_reporting::start(incarnation start, std::function<void(const vm_id& to, slot_report)> send)
{
    m_start = start;
    m_send = std::move(send);
}

void slot_reporting::stop()
{
    for (auto& [region, holdings] : m_holdings) {
        region_state& state = m_states[region];
        m_view.hooks.cancel(state.timer);
        if (m_send && holdings.allocator() && concerns(holdings, state))
            m_send(holdings.allocator()->vm, holdings.makeReport(m_view.hooks.now(), time_point::max()));
    }
    m_send = nullptr;
}

slot_holdings& slot_reporting::holdingsOf(const region_id& region)
{
    return m_holdings.try_emplace(region, region, m_start, m_view.hooks.now()).first->second;
}

std::vector<region_id> slot_reporting::otherRegions() const
{
    std::vector<region_id> others;
    for (const auto& [region, holdings] : m_holdings) {
        if (!isHome(holdings) && holdings.allocator())
            others.push_back(region);
    }
    return others;
}

void slot_reporting::followAllocators(const std::map<region_id, allocator_record>& allocators)
{
    for (const auto& [region, record] : allocators) {
        slot_holdings& holdings = holdingsOf(region);
        const bool changed = !holdings.allocator() || *holdings.allocator() != record;
        holdings.setAllocator(record);
        if (!changed)
            continue;
        m_states[region].answered = false;
        wake(region);
    }
}

bool slot_reporting::takeGrant(const slot_grant& grant)
{
    const auto holdings = m_holdings.find(grant.region);
    if (!m_send || holdings == m_holdings.end() || !holdings->second.takeGrant(grant))
        return false;
    ++m_grantsTaken;
    m_states[grant.region].answered = true;
    return true;
}

void slot_reporting::planNext(const slot_grant& grant)
{
    region_state& state = m_states[grant.region];
    const bool again = std::exchange(state.again, false);
    if (again || !grant.recalled.empty()) {
        wake(grant.region);
        return;
    }
    if (state.pumpSoon)
        return;
    const bool waits = hasUnmetDemand(m_holdings.at(grant.region), state);
    schedulePump(grant.region, state, waits ? m_options.waitingInterval : m_options.renewInterval);
}

void slot_reporting::want(const region_id& region, const service_id& service, std::uint32_t count)
{
    m_states[region].wanted[service] = count;
    wake(region);
}

void slot_reporting::wantNowhere(const service_id& service)
{
    for (auto& [region, state] : m_states)
        state.wanted.erase(service);
}

void slot_reporting::prefer(const region_id& region, const service_id& service, const failure_domain_id& domain)
{
    m_states[region].preferred[service] = domain;
    wake(region);
}

bool slot_reporting::concerns(const slot_holdings& holdings, const region_state& state) const
{
    return isHome(holdings) || holdings.holdsAny() || !state.answered || !state.wanted.empty()
        || !state.preferred.empty();
}

bool slot_reporting::hasUnmetDemand(const slot_holdings& holdings, const region_state& state) const
{
    if (!isHome(holdings))
        return !state.wanted.empty();
    return !m_view.queue.services().empty();
}

void slot_reporting::wakeIfDemandGrew(const service_id& service)
{
    const std::uint32_t reported = m_states[m_view.home].reportedWaiting[service];
    if (m_view.queue.waiting(service) >= 2 * reported)
        wake(m_view.home);
}

void slot_reporting::wake(const region_id& region)
{
    region_state& state = m_states[region];
    if (state.pumpSoon || !m_send)
        return;
    schedulePump(region, state, duration::zero());
    state.pumpSoon = true;
}

void slot_reporting::schedulePump(const region_id& region, region_state& state, duration delay)
{
    m_view.hooks.cancel(state.timer);
    state.timer = m_view.hooks.schedule(delay, [this, region] { pump(region); });
}

void slot_reporting::pump(const region_id& region)
{
    region_state& state = m_states[region];
    state.pumpSoon = false;
    const auto found = m_holdings.find(region);
    if (found == m_holdings.end() || !found->second.allocator() || !concerns(found->second, state))
        return;
    slot_holdings& holdings = found->second;
    const time_point now = m_view.hooks.now();
    state.again = holdings.awaiting() && now - holdings.reportedAt() < m_options.reportTimeout;
    if (!state.again)
        send(holdings, state, now);
    // The report that was sent last, or waits still, is sent anew unless its grant comes first.
    schedulePump(region, state, holdings.reportedAt() + m_options.reportTimeout - now);
}

void slot_reporting::send(slot_holdings& holdings, region_state& state, time_point now)
{
    const std::optional<time_point> idleBefore
        = isHome(holdings) ? std::nullopt : std::optional<time_point>(now - m_options.remoteIdleTime);
    slot_report report = holdings.makeReport(now, idleBefore);
    report.demands = demandsOf(holdings, state);
    for (const auto& [service, members] : m_view.table.byService) {
        for (const upstream_id& id : m_view.quality.ejected(members, now))
            report.ejected.push_back(id);
    }
    state.reportedWaiting.clear();
    for (const slot_demand& demand : report.demands)
        state.reportedWaiting[demand.service] = demand.waiting;
    state.preferred.clear();
    ++m_reportsSent;
    m_send(holdings.allocator()->vm, std::move(report));
}

std::vector<slot_demand> slot_reporting::demandsOf(const slot_holdings& holdings, const region_state& state) const
{
    std::vector<slot_demand> demands;
    for (const auto& [service, members] : m_view.table.byService) {
        slot_demand demand = demandOf(service, holdings, state);
        for (const upstream_id& id : members) {
            const usable_upstream& upstream = m_view.table.upstreams.at(id);
            demand.idle += holdings.idle(id, upstream.announcement.generation, m_view.hooks.now());
        }
        if (isHome(holdings) || demand.waiting > 0 || demand.idle > 0)
            demands.push_back(std::move(demand));
    }
    return demands;
}

slot_demand slot_reporting::demandOf(
    const service_id& service, const slot_holdings& holdings, const region_state& state) const
{
    slot_demand demand;
    demand.service = service;
    const auto wanted = state.wanted.find(service);
    if (isHome(holdings))
        demand.waiting = m_view.queue.waiting(service);
    else if (wanted != state.wanted.end())
        demand.waiting = wanted->second;
    const auto preferred = state.preferred.find(service);
    if (preferred != state.preferred.end()) {
        demand.preferred = preferred->second;
        demand.waiting = std::max<std::uint32_t>(demand.waiting, 1);
    }
    return demand;
}

} // namespace plantainlatch
