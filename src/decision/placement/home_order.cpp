#include "decision/placement/home_order.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <xxhash.h>

namespace plantainlatch {

namespace {

    /** Keeps the choice whether a region keeps an object apart from the choice of its upstream. */
    constexpr std::uint64_t regionSeed = 0x9e3779b97f4a7c15ULL;
    /** A weight that only orders upstreams behind all others. */
    constexpr double leastWeight = 1e-9;

    std::uint64_t mix(std::uint64_t left, std::uint64_t right)
    {
        const std::uint64_t pair[] = { left, right };
        return XXH3_64bits(pair, sizeof(pair));
    }

    /** A number in (0, 1). */
    double unit(std::uint64_t hash) { return (static_cast<double>(hash >> 11U) + 0.5) * 0x1.0p-53; }

    double slotsOf(const upstream_announcement& upstream)
    {
        return std::max(1.0, static_cast<double>(upstream.slots.value()));
    }

    double shareOf(const std::map<region_id, double>& shares, const region_id& region)
    {
        const auto found = shares.find(region);
        return found != shares.end() ? found->second : 0;
    }

} // namespace

home_order::home_order(
    std::vector<upstream_announcement> upstreams, const region_id& ownRegion, const std::map<region_id, double>& demand)
{
    std::map<region_id, double> slots;
    double total = 0;
    for (const upstream_announcement& upstream : upstreams) {
        slots[upstream.region] += slotsOf(upstream);
        total += slotsOf(upstream);
    }
    const double ownDemand = shareOf(demand, ownRegion);
    const double ownSlots = total > 0 ? shareOf(slots, ownRegion) / total : 0;
    m_kept = ownDemand > 0 ? std::min(1.0, ownSlots / ownDemand) : 1;
    for (upstream_announcement& upstream : upstreams) {
        const double regionSlots = slots[upstream.region];
        const double spare = std::max(0.0, regionSlots / total - shareOf(demand, upstream.region));
        member added;
        added.local = upstream.region == ownRegion;
        added.weight = slotsOf(upstream);
        if (!added.local)
            added.weight = std::max(leastWeight, spare * slotsOf(upstream) / regionSlots);
        added.hash = XXH3_64bits(upstream.id.value().data(), upstream.id.value().size());
        added.upstream = std::move(upstream);
        m_members.push_back(std::move(added));
    }
}

std::vector<const upstream_announcement*> home_order::of(std::uint64_t object) const
{
    const bool localFirst = unit(mix(object, regionSeed)) < m_kept;
    std::vector<std::pair<double, const member*>> ranked;
    ranked.reserve(m_members.size());
    for (const member& item : m_members) {
        const double score = -item.weight / std::log(unit(mix(object, item.hash)));
        ranked.emplace_back(score, &item);
    }
    std::sort(ranked.begin(), ranked.end(), [localFirst](const auto& left, const auto& right) {
        if (left.second->local != right.second->local)
            return left.second->local == localFirst;
        return left.first != right.first ? left.first > right.first : left.second->hash < right.second->hash;
    });
    std::vector<const upstream_announcement*> order;
    order.reserve(ranked.size());
    for (const auto& [score, item] : ranked)
        order.push_back(&item->upstream);
    return order;
}

std::vector<const upstream_announcement*> home_order::all() const
{
    std::vector<const upstream_announcement*> upstreams;
    upstreams.reserve(m_members.size());
    for (const member& item : m_members)
        upstreams.push_back(&item.upstream);
    return upstreams;
}

std::uint64_t objectNumber(const std::string& name) { return XXH3_64bits(name.data(), name.size()); }

} // namespace plantainlatch
