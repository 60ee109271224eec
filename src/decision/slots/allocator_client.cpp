#include "decision/slots/allocator_client.h"

#include <algorithm>
#include <utility>

namespace plantainlatch {

allocator_client::allocator_client(allocator_client_view view, allocator_client_options options)
    : m_view(view)
    , m_options(options)
{
}

void allocator_client::start(incarnation start, std::function<void(const vm_id& to, slot_report)> send)
{
    m_start = start;
    m_send = std::move(send);
}

void allocator_client::stop()
{
    for (auto& [region, holdings] : m_holdings) {
        region_state& state = m_states[region];
        m_view.hooks.cancel(state.timer);
        if (m_send && holdings.allocator() && isRelevant(holdings, state))
            m_send(holdings.allocator()->vm, holdings.makeReport(m_view.hooks.now(), time_point::max()));
    }
    m_send = nullptr;
}

slot_holdings& allocator_client::holdingsOf(const region_id& region)
{
    return m_holdings.try_emplace(region, region, m_start, m_view.hooks.now()).first->second;
}

std::vector<region_id> allocator_client::otherRegions() const
{
    std::vector<region_id> others;
    for (const auto& [region, holdings] : m_holdings) {
        if (!isLocal(holdings) && holdings.allocator())
            others.push_back(region);
    }
    return others;
}

void allocator_client::setAllocators(const std::map<region_id, allocator_record>& allocators)
{
    for (const auto& [region, record] : allocators) {
        slot_holdings& holdings = holdingsOf(region);
        const bool changed = !holdings.allocator() || *holdings.allocator() != record;
        holdings.setAllocator(record);
        if (!changed)
            continue;
        m_states[region].answered = false;
        reportSoon(region);
    }
}

bool allocator_client::applyGrant(const slot_grant& grant)
{
    const auto holdings = m_holdings.find(grant.region);
    if (!m_send || holdings == m_holdings.end() || !holdings->second.applyGrant(grant))
        return false;
    ++m_grantsApplied;
    m_states[grant.region].answered = true;
    return true;
}

void allocator_client::scheduleNextReport(const slot_grant& grant)
{
    region_state& state = m_states[grant.region];
    const bool reportAgain = std::exchange(state.reportAgain, false);
    if (reportAgain || !grant.recalled.empty()) {
        reportSoon(grant.region);
        return;
    }
    if (state.isReportDue)
        return;
    const bool waits = hasUnmetDemand(m_holdings.at(grant.region), state);
    scheduleReport(grant.region, state, waits ? m_options.waitingReportInterval : m_options.renewInterval);
}

void allocator_client::requestSlots(const region_id& region, const service_id& service, std::uint32_t count)
{
    m_states[region].requestedSlots[service] = count;
    reportSoon(region);
}

void allocator_client::cancelSlotRequests(const service_id& service)
{
    for (auto& [region, state] : m_states)
        state.requestedSlots.erase(service);
}

void allocator_client::requestInDomain(
    const region_id& region, const service_id& service, const failure_domain_id& domain)
{
    m_states[region].preferred[service] = domain;
    reportSoon(region);
}

bool allocator_client::isRelevant(const slot_holdings& holdings, const region_state& state) const
{
    return isLocal(holdings) || holdings.holdsAny() || !state.answered || !state.requestedSlots.empty()
        || !state.preferred.empty();
}

bool allocator_client::hasUnmetDemand(const slot_holdings& holdings, const region_state& state) const
{
    if (!isLocal(holdings))
        return !state.requestedSlots.empty();
    return !m_view.queue.services().empty();
}

void allocator_client::reportIfDemandGrew(const service_id& service)
{
    const std::uint32_t reported = m_states[m_view.localRegion].reportedWaiting[service];
    if (m_view.queue.waiting(service) >= 2 * reported)
        reportSoon(m_view.localRegion);
}

void allocator_client::reportSoon(const region_id& region)
{
    region_state& state = m_states[region];
    if (state.isReportDue || !m_send)
        return;
    scheduleReport(region, state, duration::zero());
    state.isReportDue = true;
}

void allocator_client::scheduleReport(const region_id& region, region_state& state, duration delay)
{
    m_view.hooks.cancel(state.timer);
    state.timer = m_view.hooks.schedule(delay, [this, region] { onReportTimer(region); });
}

void allocator_client::onReportTimer(const region_id& region)
{
    region_state& state = m_states[region];
    state.isReportDue = false;
    const auto found = m_holdings.find(region);
    if (found == m_holdings.end() || !found->second.allocator() || !isRelevant(found->second, state))
        return;
    slot_holdings& holdings = found->second;
    const time_point now = m_view.hooks.now();
    state.reportAgain = holdings.awaitingGrant() && now - holdings.reportedAt() < m_options.reportTimeout;
    if (!state.reportAgain)
        send(holdings, state, now);
    // If no grant arrives before the time-out, a new report replaces the last one.
    scheduleReport(region, state, holdings.reportedAt() + m_options.reportTimeout - now);
}

void allocator_client::send(slot_holdings& holdings, region_state& state, time_point now)
{
    const std::optional<time_point> idleBefore
        = isLocal(holdings) ? std::nullopt : std::optional<time_point>(now - m_options.remoteIdleTime);
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

std::vector<slot_demand> allocator_client::demandsOf(const slot_holdings& holdings, const region_state& state) const
{
    std::vector<slot_demand> demands;
    for (const auto& [service, members] : m_view.table.byService) {
        slot_demand demand = demandOf(service, holdings, state);
        for (const upstream_id& id : members) {
            const usable_upstream& upstream = m_view.table.upstreams.at(id);
            demand.idle += holdings.idle(id, upstream.announcement.generation, m_view.hooks.now());
        }
        if (isLocal(holdings) || demand.waiting > 0 || demand.idle > 0)
            demands.push_back(std::move(demand));
    }
    return demands;
}

slot_demand allocator_client::demandOf(
    const service_id& service, const slot_holdings& holdings, const region_state& state) const
{
    slot_demand demand;
    demand.service = service;
    const auto requested = state.requestedSlots.find(service);
    if (isLocal(holdings))
        demand.waiting = m_view.queue.waiting(service);
    else if (requested != state.requestedSlots.end())
        demand.waiting = requested->second;
    const auto preferred = state.preferred.find(service);
    if (preferred != state.preferred.end()) {
        demand.preferred = preferred->second;
        demand.waiting = std::max<std::uint32_t>(demand.waiting, 1);
    }
    return demand;
}

} // namespace plantainlatch
