#include "decision/placement/affinity_order.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <xxhash.h>

namespace plantainlatch {

namespace {

    /** Makes the choice between local and remote homes independent of the choice of the upstream. */
    constexpr std::uint64_t regionSeed = 0x9e3779b97f4a7c15ULL;
    /** Puts upstreams of regions without spare slots behind all other remote ones. */
    constexpr double minimumWeight = 1e-9;

    std::uint64_t mix(std::uint64_t left, std::uint64_t right)
    {
        const std::uint64_t pair[] = { left, right };
        return XXH3_64bits(pair, sizeof(pair));
    }

    /** Maps a hash to a number in (0, 1). */
    double toUnitInterval(std::uint64_t hash) { return (static_cast<double>(hash >> 11U) + 0.5) * 0x1.0p-53; }

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

affinity_order::affinity_order(
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
    m_localShare = ownDemand > 0 ? std::min(1.0, ownSlots / ownDemand) : 1;
    for (upstream_announcement& upstream : upstreams) {
        const double regionSlots = slots[upstream.region];
        const double spare = std::max(0.0, regionSlots / total - shareOf(demand, upstream.region));
        member added;
        added.local = upstream.region == ownRegion;
        added.weight = slotsOf(upstream);
        if (!added.local)
            added.weight = std::max(minimumWeight, spare * slotsOf(upstream) / regionSlots);
        added.hash = XXH3_64bits(upstream.id.value().data(), upstream.id.value().size());
        added.upstream = std::move(upstream);
        m_members.push_back(std::move(added));
    }
}

std::vector<const upstream_announcement*> affinity_order::of(std::uint64_t object) const
{
    const bool localFirst = toUnitInterval(mix(object, regionSeed)) < m_localShare;
    std::vector<std::pair<double, const member*>> ranked;
    ranked.reserve(m_members.size());
    for (const member& item : m_members) {
        const double score = -item.weight / std::log(toUnitInterval(mix(object, item.hash)));
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

std::vector<const upstream_announcement*> affinity_order::all() const
{
    std::vector<const upstream_announcement*> upstreams;
    upstreams.reserve(m_members.size());
    for (const member& item : m_members)
        upstreams.push_back(&item.upstream);
    return upstreams;
}

std::uint64_t objectHash(const std::string& name) { return XXH3_64bits(name.data(), name.size()); }

} // namespace plantainlatch
