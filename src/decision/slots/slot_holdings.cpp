#include "decision/slots/slot_holdings.h"

#include <algorithm>

#include "core/internal_assert.h"

namespace plantainlatch {

slot_holdings::slot_holdings(region_id region, incarnation start, time_point startedAt)
    : m_region(std::move(region))
    , m_start(start)
    , m_startedAt(startedAt)
{
}

void slot_holdings::setAllocator(const allocator_record& record)
{
    if (m_allocator && *m_allocator == record)
        return;
    m_allocator = record;
    m_awaiting = false;
    m_revision = 0;
}

void slot_holdings::dropIdleAfterLease(time_point now)
{
    if (leased(now))
        return;
    for (auto& [id, item] : m_holdings)
        item.count = std::min(item.count, item.inUse);
}

void slot_holdings::giveBack(slot_holding& item, std::optional<time_point> idleBefore)
{
    const std::uint32_t unused = item.count > item.inUse ? item.count - item.inUse : 0;
    const std::uint32_t returned = std::min(item.recalled, unused);
    item.count -= returned;
    item.recalled -= returned;
    if (idleBefore && item.usedAt < *idleBefore)
        item.count = std::min(item.count, item.inUse);
}

slot_report slot_holdings::makeReport(time_point now, std::optional<time_point> idleBefore)
{
    internal_assert(m_allocator.has_value()) << "a report for " << m_region.value() << " has nowhere to go";
    dropIdleAfterLease(now);
    slot_report report;
    report.region = m_region;
    report.epoch = m_allocator->epoch;
    report.start = m_start;
    report.sequence = ++m_sequence;
    report.running = now - m_startedAt;
    for (auto& [id, item] : m_holdings) {
        giveBack(item, idleBefore);
        const std::uint32_t held = std::max(item.count, item.inUse);
        if (held > 0)
            report.held.push_back({ id, item.generation, held });
        if (item.warmAnswers > 0)
            report.warmAnswers.push_back({ id, item.generation, item.warmAnswers });
        item.warmAnswers = 0;
    }
    for (const auto& [id, generations] : m_former) {
        for (const auto& [generation, inUse] : generations)
            report.held.push_back({ id, generation, inUse });
    }
    std::erase_if(m_holdings, [](const auto& item) { return item.second.count == 0 && item.second.inUse == 0; });
    m_awaiting = true;
    m_reportedAt = now;
    m_revision = 0;
    return report;
}

bool slot_holdings::takeGrant(const slot_grant& grant)
{
    const bool answers
        = m_allocator && grant.epoch == m_allocator->epoch && grant.holder == m_start && grant.sequence == m_sequence;
    if (!answers || grant.revision <= m_revision)
        return false;
    m_awaiting = false;
    m_revision = grant.revision;
    m_leaseUntil = m_reportedAt + grant.lease;
    for (auto& [id, item] : m_holdings) {
        item.count = 0;
        item.recalled = 0;
    }
    for (const slot_share& share : grant.granted) {
        slot_holding& item = m_holdings[share.upstream];
        if (item.generation != share.generation && item.inUse > 0)
            m_former[share.upstream][item.generation] += item.inUse;
        if (item.generation != share.generation)
            item = slot_holding {};
        item.generation = share.generation;
        item.count = share.count;
    }
    for (const slot_share& share : grant.recalled) {
        const auto item = m_holdings.find(share.upstream);
        if (item != m_holdings.end() && item->second.generation == share.generation)
            item->second.recalled = share.count;
    }
    return true;
}

std::uint32_t slot_holdings::idle(const upstream_id& id, upstream_generation generation, time_point now) const
{
    const auto item = m_holdings.find(id);
    if (!leased(now) || item == m_holdings.end() || item->second.generation != generation)
        return 0;
    return item->second.idle();
}

void slot_holdings::take(const upstream_id& id)
{
    slot_holding& item = m_holdings.at(id);
    ++item.inUse;
    internal_assert(item.inUse <= item.count)
        << item.inUse << " slots of " << id.value() << " in use, " << item.count << " held";
}

void slot_holdings::free(const upstream_id& id, upstream_generation generation, time_point now)
{
    const auto item = m_holdings.find(id);
    if (item != m_holdings.end() && item->second.generation == generation) {
        internal_assert(item->second.inUse > 0) << "a slot of " << id.value() << " is freed twice";
        --item->second.inUse;
        item->second.usedAt = now;
        return;
    }
    auto& generations = m_former[id];
    internal_assert(generations[generation] > 0)
        << "a slot of a former generation of " << id.value() << " is freed twice";
    if (--generations[generation] == 0)
        generations.erase(generation);
    if (generations.empty())
        m_former.erase(id);
}

void slot_holdings::countWarmAnswer(const upstream_id& id, upstream_generation generation)
{
    const auto item = m_holdings.find(id);
    if (item != m_holdings.end() && item->second.generation == generation)
        ++item->second.warmAnswers;
}

state_dump slot_holdings::dump(time_point now) const
{
    state_dump shown(m_region.value());
    shown.add("allocator", m_allocator ? m_allocator->vm.value() : std::string());
    shown.add("epoch", m_allocator ? m_allocator->epoch.value() : 0);
    shown.add("lease_left", duration(m_leaseUntil - now));
    state_dump& list = shown.addObject("upstreams");
    for (const auto& [id, item] : m_holdings) {
        state_dump& shownItem = list.addObject(id.value());
        shownItem.add("held", static_cast<std::uint64_t>(item.count));
        shownItem.add("in_use", static_cast<std::uint64_t>(item.inUse));
        shownItem.add("recalled", static_cast<std::uint64_t>(item.recalled));
    }
    return shown;
}

} // namespace plantainlatch
