#include "decision/slots/slot_picker.h"

#include <algorithm>

#include "model/configuration.h"

namespace plantainlatch {

namespace {

    /** Bits that a double represents exactly. */
    constexpr unsigned fractionBits = 53;
    constexpr unsigned randomBits = 64;

    double randomFraction(const std::function<std::uint64_t()>& random)
    {
        return static_cast<double>(random() >> (randomBits - fractionBits)) / static_cast<double>(1ULL << fractionBits);
    }

    /** The candidates of one service in the order of preference. */
    struct candidate_tiers {
        std::vector<const usable_upstream*> preferred;
        std::vector<const usable_upstream*> local;
        std::vector<const usable_upstream*> remote;
    };

    bool isIdle(const slot_picker_view& view, const usable_upstream& upstream, time_point now)
    {
        const auto region = view.holdings->find(upstream.announcement.region);
        if (upstream.capacity == 0 || region == view.holdings->end())
            return false;
        return region->second.idle(upstream.announcement.id, upstream.announcement.generation, now) > 0;
    }

    candidate_tiers findCandidates(
        const slot_picker_view& view, const upstream_criteria& criteria, bool avoiding, time_point now)
    {
        candidate_tiers tiers;
        const auto members = view.table->byService.find(criteria.service);
        if (members == view.table->byService.end())
            return tiers;
        const std::set<upstream_id> ejected = view.quality->ejected(members->second, now);
        for (const upstream_id& id : members->second) {
            const usable_upstream& upstream = view.table->upstreams.at(id);
            const bool avoided
                = avoiding && std::find(criteria.avoid.begin(), criteria.avoid.end(), id) != criteria.avoid.end();
            if (avoided || ejected.contains(id) || view.quality->paused(id, now) || !isIdle(view, upstream, now))
                continue;
            if (!criteria.preferred.empty() && upstream.announcement.failureDomain == criteria.preferred)
                tiers.preferred.push_back(&upstream);
            else if (upstream.announcement.region == view.localRegion)
                tiers.local.push_back(&upstream);
            else if (criteria.allowOtherRegions)
                tiers.remote.push_back(&upstream);
        }
        return tiers;
    }

    const usable_upstream* fasterOfTwo(
        const slot_picker_view& view, const std::vector<const usable_upstream*>& candidates)
    {
        if (candidates.empty())
            return nullptr;
        const usable_upstream* first = candidates[view.random() % candidates.size()];
        const usable_upstream* second = candidates[view.random() % candidates.size()];
        return view.quality->latency(second->announcement.id) < view.quality->latency(first->announcement.id) ? second
                                                                                                              : first;
    }

    const usable_upstream* pickFrom(
        const slot_picker_view& view, const upstream_criteria& criteria, const candidate_tiers& tiers, time_point now)
    {
        for (const auto* tier : { &tiers.preferred, &tiers.local, &tiers.remote }) {
            const usable_upstream* choice = fasterOfTwo(view, *tier);
            if (choice == nullptr)
                continue;
            const region_id& region = choice->announcement.region;
            if (region == view.localRegion || view.links->trySend(region, criteria.bodySize, now))
                return choice;
        }
        return nullptr;
    }

    /** The positive weights of the local region; if it has none, the weights of all regions. */
    std::vector<domain_weight> effectiveWeights(
        const slot_picker_view& view, const configuration& config, std::vector<domain_weight> all)
    {
        std::vector<domain_weight> local;
        for (const domain_weight& item : all) {
            if (item.weight > 0 && regionOf(config, item.failureDomain) == view.localRegion)
                local.push_back(item);
        }
        return local.empty() ? all : local;
    }

    failure_domain_id drawByWeight(const std::vector<domain_weight>& weights, double fraction)
    {
        double total = 0;
        for (const domain_weight& item : weights)
            total += item.weight;
        double remaining = fraction * total;
        for (const domain_weight& item : weights) {
            remaining -= item.weight;
            if (remaining < 0)
                return item.failureDomain;
        }
        return {};
    }

} // namespace

const usable_upstream* pickUpstream(const slot_picker_view& view, const upstream_criteria& criteria, time_point now)
{
    const usable_upstream* choice = pickFrom(view, criteria, findCandidates(view, criteria, true, now), now);
    if (choice != nullptr || criteria.avoid.empty())
        return choice;
    return pickFrom(view, criteria, findCandidates(view, criteria, false, now), now);
}

domain_choice drawDomain(
    const slot_picker_view& view, const configuration& config, const shift_port& shifts, const service_id& service)
{
    domain_choice choice;
    const std::vector<domain_weight> weights = effectiveWeights(view, config, shifts.weights(service));
    choice.failureDomain = drawByWeight(weights, randomFraction(view.random));
    for (const active_shift& shift : shifts.shifts(service)) {
        const bool applies = shift.from == choice.failureDomain
            || (choice.failureDomain.empty() && regionOf(config, shift.from) == view.localRegion);
        if (!applies || randomFraction(view.random) >= shift.fraction || !shifts.tryAcquire(shift.id))
            continue;
        choice.failureDomain = shift.to;
        choice.shift = shift.id;
        break;
    }
    return choice;
}

} // namespace plantainlatch
