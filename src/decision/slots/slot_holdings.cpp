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
    m_awaitingGrant = false;
    m_revision = 0;
}

void slot_holdings::dropIdleAfterLease(time_point now)
{
    if (leased(now))
        return;
    for (auto& [id, item] : m_holdings)
        item.count = std::min(item.count, item.inUse);
}

void slot_holdings::returnIdleSlots(slot_holding& item, std::optional<time_point> idleBefore)
{
    const std::uint32_t unused = item.count > item.inUse ? item.count - item.inUse : 0;
    const std::uint32_t returned = std::min(item.recalled, unused);
    item.count -= returned;
    item.recalled -= returned;
    if (idleBefore && item.lastUsedAt < *idleBefore)
        item.count = std::min(item.count, item.inUse);
}

slot_report slot_holdings::makeReport(time_point now, std::optional<time_point> idleBefore)
{
    internal_assert(m_allocator.has_value())
        << "report for region " << m_region.value() << " made before its allocator is known";
    dropIdleAfterLease(now);
    slot_report report;
    report.region = m_region;
    report.epoch = m_allocator->epoch;
    report.start = m_start;
    report.sequence = ++m_sequence;
    report.uptime = now - m_startedAt;
    for (auto& [id, item] : m_holdings) {
        returnIdleSlots(item, idleBefore);
        const std::uint32_t held = std::max(item.count, item.inUse);
        if (held > 0)
            report.held.push_back({ id, item.generation, held });
        if (item.warmAnswers > 0)
            report.warmAnswers.push_back({ id, item.generation, item.warmAnswers });
        item.warmAnswers = 0;
    }
    for (const auto& [id, generations] : m_earlierGenerations) {
        for (const auto& [generation, inUse] : generations)
            report.held.push_back({ id, generation, inUse });
    }
    std::erase_if(m_holdings, [](const auto& item) { return item.second.count == 0 && item.second.inUse == 0; });
    m_awaitingGrant = true;
    m_reportedAt = now;
    m_revision = 0;
    return report;
}

bool slot_holdings::applyGrant(const slot_grant& grant)
{
    const bool answers
        = m_allocator && grant.epoch == m_allocator->epoch && grant.holder == m_start && grant.sequence == m_sequence;
    if (!answers || grant.revision <= m_revision)
        return false;
    m_awaitingGrant = false;
    m_revision = grant.revision;
    m_leaseUntil = m_reportedAt + grant.lease;
    for (auto& [id, item] : m_holdings) {
        item.count = 0;
        item.recalled = 0;
    }
    for (const per_upstream_count& entry : grant.granted) {
        slot_holding& item = m_holdings[entry.upstream];
        if (item.generation != entry.generation && item.inUse > 0)
            m_earlierGenerations[entry.upstream][item.generation] += item.inUse;
        if (item.generation != entry.generation)
            item = slot_holding {};
        item.generation = entry.generation;
        item.count = entry.count;
    }
    for (const per_upstream_count& entry : grant.recalled) {
        const auto item = m_holdings.find(entry.upstream);
        if (item != m_holdings.end() && item->second.generation == entry.generation)
            item->second.recalled = entry.count;
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
        internal_assert(item->second.inUse > 0) << "a slot of " << id.value() << " is released twice";
        --item->second.inUse;
        item->second.lastUsedAt = now;
        return;
    }
    auto& generations = m_earlierGenerations[id];
    internal_assert(generations[generation] > 0)
        << "a slot of an earlier generation of " << id.value() << " is released twice";
    if (--generations[generation] == 0)
        generations.erase(generation);
    if (generations.empty())
        m_earlierGenerations.erase(id);
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
        state_dump& upstreamDump = list.addObject(id.value());
        upstreamDump.add("held", static_cast<std::uint64_t>(item.count));
        upstreamDump.add("in_use", static_cast<std::uint64_t>(item.inUse));
        upstreamDump.add("recalled", static_cast<std::uint64_t>(item.recalled));
    }
    return shown;
}

} // namespace plantainlatch
