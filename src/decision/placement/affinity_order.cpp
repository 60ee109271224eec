#include "decision/placement/affinity_order.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <xxhash.h>

#include "core/internal_assert.h"

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

} // namespace

affinity_order::affinity_order(const region_id& ownRegion, const std::map<region_id, double>& demand)
    : m_ownRegion(ownRegion)
{
    for (const auto& [region, share] : demand)
        m_regions[regionIndex(region)].demand = share;
    updateShares();
}

std::size_t affinity_order::regionIndex(const region_id& region)
{
    for (std::size_t i = 0; i < m_regions.size(); ++i) {
        if (m_regions[i].region == region)
            return i;
    }
    region_share added;
    added.region = region;
    added.local = region == m_ownRegion;
    m_regions.push_back(std::move(added));
    return m_regions.size() - 1;
}

void affinity_order::put(const upstream_announcement& upstream)
{
    remove(upstream.id);
    member added;
    added.upstream = upstream;
    added.hash = XXH3_64bits(upstream.id.value().data(), upstream.id.value().size());
    added.region = regionIndex(upstream.region);
    m_regions[added.region].slots += slotsOf(upstream);
    m_positions.emplace(upstream.id, m_members.size());
    m_members.push_back(std::move(added));
    updateShares();
}

void affinity_order::remove(const upstream_id& id)
{
    const auto found = m_positions.find(id);
    if (found == m_positions.end())
        return;
    const std::size_t position = found->second;
    m_positions.erase(found);
    m_regions[m_members[position].region].slots -= slotsOf(m_members[position].upstream);
    if (position + 1 < m_members.size()) {
        m_members[position] = std::move(m_members.back());
        m_positions[m_members[position].upstream.id] = position;
    }
    m_members.pop_back();
    internal_assert(m_positions.size() == m_members.size()) << m_positions.size() << " positions";
    updateShares();
}

void affinity_order::updateShares()
{
    double total = 0;
    for (const region_share& region : m_regions)
        total += region.slots;
    m_localShare = 1;
    for (region_share& region : m_regions) {
        const double share = total > 0 ? region.slots / total : 0;
        if (region.local && region.demand > 0)
            m_localShare = std::min(1.0, share / region.demand);
        const double spare = std::max(0.0, share - region.demand);
        region.weight = 1;
        if (!region.local && region.slots > 0)
            region.weight = std::max(minimumWeight, spare / region.slots);
    }
}

affinity_walk affinity_order::walk(std::uint64_t object) const
{
    return { *this, object, toUnitInterval(mix(object, regionSeed)) < m_localShare };
}

std::vector<const upstream_announcement*> affinity_order::all() const
{
    std::vector<const upstream_announcement*> upstreams;
    upstreams.reserve(m_members.size());
    for (const member& item : m_members)
        upstreams.push_back(&item.upstream);
    return upstreams;
}

affinity_walk::affinity_walk(const affinity_order& order, std::uint64_t object, bool local)
    : m_order(order)
    , m_object(object)
    , m_local(local)
{
    rank();
}

bool affinity_walk::isBehind(const ranked_member& left, const ranked_member& right)
{
    return left.score != right.score ? left.score < right.score : left.item->hash > right.item->hash;
}

void affinity_walk::rank()
{
    for (const affinity_order::member& item : m_order.m_members) {
        const affinity_order::region_share& region = m_order.m_regions[item.region];
        if (region.local != m_local)
            continue;
        const double weight = region.weight * slotsOf(item.upstream);
        m_ranked.push_back({ -weight / std::log(toUnitInterval(mix(m_object, item.hash))), &item });
    }
    std::make_heap(m_ranked.begin(), m_ranked.end(), isBehind);
}

const upstream_announcement* affinity_walk::next()
{
    if (m_ranked.empty() && !std::exchange(m_isSecondGroup, true)) {
        m_local = !m_local;
        rank();
    }
    if (m_ranked.empty())
        return nullptr;
    std::pop_heap(m_ranked.begin(), m_ranked.end(), isBehind);
    const affinity_order::member* item = m_ranked.back().item;
    m_ranked.pop_back();
    return &item->upstream;
}

std::uint64_t objectHash(const std::string& name) { return XXH3_64bits(name.data(), name.size()); }

} // namespace plantainlatch
