#include "decision/operators/capacity_model.h"

#include <algorithm>
#include <chrono>
#include <map>

#include "absl/strings/str_format.h"
#include "core/internal_assert.h"
#include "decision/control/apply_directory.h"
#include "decision/control/apply_drain.h"

namespace plantainlatch {

namespace {

    constexpr double hundredPercent = 100.0;

    /** Tolerance for rounding errors in comparisons of demand. */
    constexpr double roundingTolerance = 1e-9;

    using domain_amounts = std::map<failure_domain_id, double>;

    double sumOf(const domain_amounts& amounts)
    {
        double sum = 0;
        for (const auto& [domain, amount] : amounts)
            sum += amount;
        return sum;
    }

    bool isDrained(const std::set<drain_target>& drains, const upstream_announcement& upstream)
    {
        return drains.contains({ drain_kind::Upstream, upstream.id.value() })
            || drains.contains({ drain_kind::FailureDomain, upstream.failureDomain.value() })
            || drains.contains({ drain_kind::Region, upstream.region.value() });
    }

    domain_amounts slotsOf(const capacity_input& input, const service_id& service)
    {
        domain_amounts slots;
        for (const auto& [id, record] : input.state.directory) {
            const upstream_announcement& upstream = record.announcement;
            const bool isUsable = upstream.service == service && !input.config.withdrawnUpstreams.contains(id)
                && isLocationDeclared(input.config, upstream) && !isDrained(input.drains, upstream);
            if (isUsable)
                slots[upstream.failureDomain] += static_cast<double>(effectiveSlots(input.config, upstream).value());
        }
        return slots;
    }

    /** Distributes `amount` over the failure domains in proportion to their weights; adds nothing when all are 0. */
    void distribute(domain_amounts& demand, double amount, const domain_amounts& weights)
    {
        const double total = sumOf(weights);
        if (total <= 0)
            return;
        for (const auto& [domain, weight] : weights)
            demand[domain] += amount * weight / total;
    }

    domain_amounts sharesOf(const capacity_input& input, const service_id& service, const domain_amounts& slots)
    {
        domain_amounts weights;
        for (const auto& [key, share] : input.config.shares) {
            const auto found = slots.find(share.failureDomain);
            if (key.first == service && found != slots.end() && found->second > 0)
                weights[share.failureDomain] = share.weight;
        }
        return weights;
    }

    domain_amounts slotsInRegion(const configuration& config, const domain_amounts& slots, const region_id& region)
    {
        domain_amounts part;
        for (const auto& [domain, count] : slots) {
            if (regionOf(config, domain) == region)
                part[domain] = count;
        }
        return part;
    }

    domain_amounts measuredDemand(const capacity_input& input, const service_id& service)
    {
        domain_amounts demand;
        for (const service_load& load : input.loads) {
            if (load.service == service)
                demand[load.failureDomain] += load.perSecond * std::chrono::duration<double>(load.latency).count();
        }
        return demand;
    }

    domain_amounts redirectDemand(
        const capacity_input& input, const domain_amounts& measured, const domain_amounts& slots)
    {
        domain_amounts demand;
        for (const auto& [domain, amount] : measured) {
            const auto localSlots = slots.find(domain);
            const domain_amounts regionalSlots = slotsInRegion(input.config, slots, regionOf(input.config, domain));
            if (localSlots != slots.end() && localSlots->second > 0)
                demand[domain] += amount;
            else
                distribute(demand, amount, sumOf(regionalSlots) > 0 ? regionalSlots : slots);
        }
        return demand;
    }

    double meanLatency(const capacity_input& input, const service_id& service)
    {
        double requests = 0;
        double time = 0;
        for (const service_load& load : input.loads) {
            if (load.service != service)
                continue;
            requests += load.perSecond;
            time += load.perSecond * std::chrono::duration<double>(load.latency).count();
        }
        return requests > 0 ? time / requests : 0;
    }

    void applyShifts(const capacity_input& input, const service_id& service, domain_amounts& demand)
    {
        const double latency = meanLatency(input, service);
        for (const auto& [id, shift] : input.config.shifts) {
            if (shift.service != service)
                continue;
            const double uncapped = demand[shift.from] * shift.percent / hundredPercent;
            const double moved = std::min(uncapped, shift.capPerSecond * latency);
            demand[shift.from] -= moved;
            demand[shift.to] += moved;
        }
    }

    domain_amounts demandOf(const capacity_input& input, const service_id& service, const domain_amounts& slots)
    {
        const domain_amounts measured = measuredDemand(input, service);
        const domain_amounts weights = sharesOf(input, service, slots);
        domain_amounts demand;
        if (sumOf(weights) > 0)
            distribute(demand, sumOf(measured), weights);
        else
            demand = redirectDemand(input, measured, slots);
        applyShifts(input, service, demand);
        return demand;
    }

    using region_key = std::pair<service_id, region_id>;

    std::map<region_key, capacity_risk> sumByRegion(const std::vector<location_capacity>& locations)
    {
        std::map<region_key, capacity_risk> sums;
        for (const location_capacity& location : locations) {
            capacity_risk& sum = sums[{ location.service, location.region }];
            sum.service = location.service;
            sum.region = location.region;
            sum.slots += location.slots;
            sum.demand += location.demand;
        }
        return sums;
    }

    bool isOverloaded(const capacity_risk& sum)
    {
        return sum.demand > roundingTolerance && sum.demand > maximumRegionUtilization * sum.slots;
    }

    std::map<service_id, double> slotsByService(const std::vector<location_capacity>& locations)
    {
        std::map<service_id, double> slots;
        for (const location_capacity& location : locations)
            slots[location.service] += location.slots;
        return slots;
    }

} // namespace

std::vector<location_capacity> estimateCapacity(const capacity_input& input)
{
    std::vector<location_capacity> locations;
    for (const auto& [service, definition] : input.config.services) {
        const domain_amounts slots = slotsOf(input, service);
        const domain_amounts demand = demandOf(input, service, slots);
        for (const auto& [region, regionDefinition] : input.config.regions) {
            for (const failure_domain_id& domain : regionDefinition.failureDomains) {
                const auto domainSlots = slots.find(domain);
                const auto domainDemand = demand.find(domain);
                locations.push_back({ service, region, domain, domainSlots == slots.end() ? 0 : domainSlots->second,
                    domainDemand == demand.end() ? 0 : domainDemand->second });
            }
        }
    }
    return locations;
}

std::vector<capacity_risk> findRisks(const std::vector<location_capacity>& locations)
{
    std::vector<capacity_risk> risks;
    for (const auto& [key, sum] : sumByRegion(locations)) {
        if (isOverloaded(sum))
            risks.push_back(sum);
    }
    return risks;
}

std::vector<capacity_risk> findNewRisks(
    const std::vector<location_capacity>& before, const std::vector<location_capacity>& after)
{
    std::vector<capacity_risk> risks;
    const auto sumsBefore = sumByRegion(before);
    for (const capacity_risk& risk : findRisks(after)) {
        const auto former = sumsBefore.find({ risk.service, risk.region });
        const bool wasAsSevere = former != sumsBefore.end() && isOverloaded(former->second)
            && former->second.demand * risk.slots + roundingTolerance >= risk.demand * former->second.slots;
        if (!wasAsSevere)
            risks.push_back(risk);
    }
    const auto slotsAfter = slotsByService(after);
    for (const auto& [service, slots] : slotsByService(before)) {
        const auto found = slotsAfter.find(service);
        if (slots > 0 && found != slotsAfter.end() && found->second <= 0)
            risks.push_back({ accepted_risk::NoUpstream, service, {}, 0, 0 });
    }
    return risks;
}

std::string describeRisk(const capacity_risk& risk)
{
    if (risk.kind == accepted_risk::NoUpstream)
        return absl::StrFormat("service '%s' would have no upstream left", risk.service.value());
    return absl::StrFormat(
        "region '%s' would run %.1f requests of service '%s' at once on %.0f slots; the limit is %.1f",
        risk.region.value(), risk.demand, risk.service.value(), risk.slots, maximumRegionUtilization * risk.slots);
}

const char* riskName(accepted_risk risk)
{
    switch (risk) {
    case accepted_risk::RegionOverload:
        return "region-overload";
    case accepted_risk::NoUpstream:
        return "no-upstream";
    }
    internal_assert(false) << "risk " << static_cast<int>(risk);
    return "unknown";
}

} // namespace plantainlatch
