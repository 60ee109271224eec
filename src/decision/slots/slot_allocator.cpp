#include "decision/slots/slot_allocator.h"

#include <algorithm>

#include "core/internal_assert.h"

namespace plantainlatch {

slot_allocator::slot_allocator(region_id region, allocator_epoch epoch, std::set<vm_id> earlierHolders, time_point now,
    slot_allocator_options options)
    : m_region(std::move(region))
    , m_epoch(epoch)
    , m_options(options)
    , m_unaccountedVms(std::move(earlierHolders))
    , m_startedAt(now)
{
    if (!m_options.waitForEarlierAllocations)
        m_unaccountedVms.clear();
}

duration slot_allocator::maximumUseTime() const
{
    return m_options.lease + m_options.drift + m_maximumWorkTime + m_options.settleTime;
}

void slot_allocator::setUpstreams(const upstream_table& table, duration maximumWorkTime, time_point now)
{
    // Requests may still run under an earlier, longer limit, so the maximum never decreases.
    m_maximumWorkTime = std::max(m_maximumWorkTime, maximumWorkTime);
    m_earlierAllocationsEnd = m_startedAt + maximumUseTime();
    m_byService.clear();
    for (auto& [key, item] : m_upstreams)
        item.info.capacity = 0;
    for (const auto& [id, info] : table.upstreams) {
        if (info.announcement.region != m_region)
            continue;
        const upstream_key key { id, info.announcement.generation };
        const auto [position, isNew] = m_upstreams.try_emplace(key);
        position->second.info = info;
        if (isNew && !m_hasUpstreams && !m_unaccountedVms.empty() && now < m_earlierAllocationsEnd)
            position->second.unaccounted = static_cast<std::uint32_t>(info.announcement.slots.value());
        m_byService[info.announcement.service].push_back(key);
    }
    m_hasUpstreams = true;
    std::erase_if(m_upstreams, [](const auto& item) {
        return item.second.info.capacity == 0 && item.second.allocated == 0 && item.second.unaccounted == 0;
    });
    for (auto& [service, keys] : m_byService)
        std::erase_if(keys, [this](const upstream_key& key) { return !m_upstreams.contains(key); });
}

std::vector<addressed_grant> slot_allocator::report(const reporting_vm& from, const slot_report& report, time_point now)
{
    const holder_key key { from.vm, report.start };
    const auto known = m_holders.find(key);
    const bool isOutdated = known != m_holders.end() && report.sequence <= known->second.sequence;
    if (report.epoch != m_epoch || isOutdated)
        return {};
    holder& item = applyReport(key, from, report, now);
    allocateForDemand(item);
    std::set<holder_key> changed { key };
    for (const holder_key& other : allocateToWaitingHolders(&key, now))
        changed.insert(other);
    // The waiting requests of other holders get slots before the reserve of this holder is filled; otherwise the
    // reserve could give a recalled slot back to the holder that has just returned it.
    allocateReserve(item);
    for (const auto& [service, wanted] : item.demands) {
        const std::uint32_t idle = wanted.idle;
        if (wanted.waiting <= idle)
            continue;
        for (const holder_key& other : recallFor(key, service, wanted.waiting - idle))
            changed.insert(other);
    }
    return makeGrants(changed);
}

std::vector<addressed_grant> slot_allocator::makeGrants(const std::set<holder_key>& holders)
{
    std::vector<addressed_grant> grants;
    grants.reserve(holders.size());
    for (const holder_key& key : holders)
        grants.push_back(makeGrant(key, m_holders.at(key)));
    return grants;
}

slot_allocator::holder& slot_allocator::applyReport(
    const holder_key& key, const reporting_vm& from, const slot_report& report, time_point now)
{
    const auto [position, isFirst] = m_holders.try_emplace(key);
    holder& item = position->second;
    item.isLocal = from.isLocal;
    item.sequence = report.sequence;
    item.leaseEnd = now + m_options.lease;
    item.recalled.clear();
    item.demands.clear();
    for (const slot_demand& wanted : report.demands)
        item.demands[wanted.service] = { wanted.waiting, wanted.idle, wanted.preferred };
    item.ejected = { report.ejected.begin(), report.ejected.end() };
    applyHeldSlots(item, isFirst, report.held);
    addWarmAnswers(report.warmAnswers);
    // Unless one of these holds, requests of an earlier incarnation of the VM may still run.
    if (from.earlierWorkEnded || report.uptime >= maximumUseTime())
        m_unaccountedVms.erase(key.vm);
    expireUnaccounted(now);
    return item;
}

void slot_allocator::applyHeldSlots(holder& item, bool isFirst, const std::vector<per_upstream_count>& held)
{
    std::map<upstream_key, std::uint32_t> reported;
    for (const per_upstream_count& entry : held)
        reported[{ entry.upstream, entry.generation }] += entry.count;
    const auto previouslyHeld = item.held;
    for (const auto& [key, count] : previouslyHeld) {
        if (!reported.contains(key))
            setHeld(item, key, 0);
    }
    for (const auto& [key, count] : reported) {
        const auto previous = previouslyHeld.find(key);
        const std::uint32_t maximum = previous == previouslyHeld.end() ? 0 : previous->second;
        internal_assert(isFirst || count <= maximum)
            << "a holder reports " << count << " slots of " << key.id.value() << " but its allocation is " << maximum;
        setHeld(item, key, count);
        upstream_state& upstream = m_upstreams[key];
        if (!isFirst)
            continue;
        upstream.unaccounted -= std::min(upstream.unaccounted, count);
        // An earlier allocator had already ramped the upstream up to these slots.
        upstream.warmAnswers += count * m_options.warmAnswersPerSlot;
    }
}

void slot_allocator::addWarmAnswers(const std::vector<per_upstream_count>& warm)
{
    for (const per_upstream_count& entry : warm) {
        const auto upstream = m_upstreams.find({ entry.upstream, entry.generation });
        if (upstream != m_upstreams.end())
            upstream->second.warmAnswers += entry.count;
    }
}

void slot_allocator::markStopped(const vm_id& vm) { m_unaccountedVms.erase(vm); }

void slot_allocator::expireUnaccounted(time_point now)
{
    if (now >= m_earlierAllocationsEnd)
        m_unaccountedVms.clear();
    if (!m_unaccountedVms.empty())
        return;
    for (auto& [key, item] : m_upstreams)
        item.unaccounted = 0;
}

void slot_allocator::setHeld(holder& item, const upstream_key& key, std::uint32_t count)
{
    const auto position = item.held.find(key);
    const std::uint32_t before = position == item.held.end() ? 0 : position->second;
    upstream_state& upstream = m_upstreams[key];
    internal_assert(upstream.allocated >= before) << "more slots of " << key.id.value() << " are held than allocated";
    upstream.allocated = upstream.allocated - before + count;
    if (count > 0)
        item.held[key] = count;
    else if (position != item.held.end())
        item.held.erase(position);
}

std::uint32_t slot_allocator::allocatedInAllGenerations(const upstream_id& id) const
{
    std::uint32_t count = 0;
    for (auto item = m_upstreams.lower_bound({ id, upstream_generation() });
         item != m_upstreams.end() && item->first.id == id; ++item)
        count += item->second.allocated + item->second.unaccounted;
    return count;
}

std::uint32_t slot_allocator::available(const upstream_state& item) const
{
    if (item.info.capacity == 0 || (m_usable && !m_usable(item.info.announcement.id)))
        return 0;
    const std::uint32_t warmSlots = m_options.coldSlots + item.warmAnswers / m_options.warmAnswersPerSlot;
    const std::uint32_t limit = std::min(item.info.capacity, warmSlots);
    // Slots of earlier generations count too: a holder that does not know yet that the upstream restarted still sends
    // requests to the same address.
    const std::uint32_t used = allocatedInAllGenerations(item.info.announcement.id);
    return limit > used ? limit - used : 0;
}

std::uint32_t slot_allocator::equalShare(const service_id& service) const
{
    const auto keys = m_byService.find(service);
    if (keys == m_byService.end())
        return 0;
    std::uint32_t capacity = 0;
    for (const upstream_key& key : keys->second)
        capacity += m_upstreams.at(key).info.capacity;
    std::uint32_t holdersWithShare = 0;
    for (const auto& [key, item] : m_holders)
        holdersWithShare += item.isLocal || item.demands.contains(service) ? 1 : 0;
    return holdersWithShare == 0 ? capacity : (capacity + holdersWithShare - 1) / holdersWithShare;
}

std::uint32_t slot_allocator::heldOf(const holder& item, const service_id& service) const
{
    std::uint32_t count = 0;
    for (const auto& [key, held] : item.held) {
        if (m_upstreams.at(key).info.announcement.service == service)
            count += held;
    }
    return count;
}

slot_allocator::upstream_state* slot_allocator::bestUpstream(
    const service_id& service, const holder& item, const failure_domain_id& preferred)
{
    const auto keys = m_byService.find(service);
    if (keys == m_byService.end() || keys->second.empty())
        return nullptr;
    upstream_state* best = nullptr;
    std::uint32_t bestScore = 0;
    const std::size_t count = keys->second.size();
    const std::size_t first = m_rotation++ % count;
    for (std::size_t i = 0; i < count; ++i) {
        upstream_state& candidate = m_upstreams.at(keys->second[(first + i) % count]);
        if (item.ejected.contains(candidate.info.announcement.id))
            continue;
        const std::uint32_t availableSlots = available(candidate);
        const bool isPreferred = !preferred.empty() && candidate.info.announcement.failureDomain == preferred;
        const std::uint32_t score
            = availableSlots == 0 ? 0 : availableSlots + (isPreferred ? candidate.info.capacity : 0);
        if (score > bestScore) {
            best = &candidate;
            bestScore = score;
        }
    }
    return best;
}

std::uint32_t slot_allocator::allocate(
    holder& item, const service_id& service, const failure_domain_id& preferred, std::uint32_t count)
{
    std::uint32_t added = 0;
    while (added < count) {
        upstream_state* upstream = bestUpstream(service, item, preferred);
        if (upstream == nullptr)
            break;
        const upstream_key key { upstream->info.announcement.id, upstream->info.announcement.generation };
        setHeld(item, key, item.held[key] + 1);
        internal_assert(upstream->allocated + upstream->unaccounted <= upstream->info.capacity)
            << upstream->allocated << " slots of " << key.id.value() << " are allocated, above its capacity of "
            << upstream->info.capacity;
        ++added;
    }
    return added;
}

void slot_allocator::allocateForDemand(holder& item)
{
    for (auto& [service, wanted] : item.demands) {
        if (wanted.waiting > wanted.idle)
            wanted.idle += allocate(item, service, wanted.preferred, wanted.waiting - wanted.idle);
    }
}

void slot_allocator::allocateReserve(holder& item)
{
    for (auto& [service, wanted] : item.demands) {
        const std::uint32_t held = heldOf(item, service);
        const std::uint32_t share = item.isLocal ? equalShare(service) : 0;
        if (share > held)
            wanted.idle += allocate(item, service, wanted.preferred, share - held);
    }
}

std::vector<slot_allocator::holder_key> slot_allocator::allocateToWaitingHolders(
    const holder_key* excluded, time_point now)
{
    std::vector<holder_key> changed;
    for (auto& [key, item] : m_holders) {
        const bool isExcluded = excluded != nullptr && key == *excluded;
        if (isExcluded || now >= item.leaseEnd)
            continue;
        bool anyAllocated = false;
        for (auto& [service, wanted] : item.demands) {
            if (wanted.waiting <= wanted.idle)
                continue;
            const std::uint32_t count = allocate(item, service, wanted.preferred, wanted.waiting - wanted.idle);
            wanted.idle += count;
            anyAllocated = anyAllocated || count > 0;
        }
        if (anyAllocated)
            changed.push_back(key);
    }
    return changed;
}

std::vector<slot_allocator::holder_key> slot_allocator::recallFor(
    const holder_key& requester, const service_id& service, std::uint32_t count)
{
    const std::uint32_t share = equalShare(service);
    const bool isBelowEqualShare = heldOf(m_holders.at(requester), service) < share;
    std::vector<holder_key> changed;
    for (auto& [key, item] : m_holders) {
        if (key == requester || count == 0)
            continue;
        const auto wanted = item.demands.find(service);
        const bool hasDemand = wanted != item.demands.end();
        std::uint32_t spare = hasDemand && wanted->second.idle > wanted->second.waiting
            ? wanted->second.idle - wanted->second.waiting
            : 0;
        const std::uint32_t held = heldOf(item, service);
        if (isBelowEqualShare && held > share)
            spare = std::max(spare, held - share);
        const std::uint32_t recalled = recallFrom(item, service, std::min(spare, count));
        if (recalled == 0)
            continue;
        count -= recalled;
        changed.push_back(key);
    }
    return changed;
}

std::uint32_t slot_allocator::recallFrom(holder& item, const service_id& service, std::uint32_t count)
{
    std::uint32_t recalled = 0;
    for (const auto& [key, held] : item.held) {
        if (m_upstreams.at(key).info.announcement.service != service)
            continue;
        std::uint32_t& alreadyRecalled = item.recalled[key];
        const std::uint32_t additional = std::min(held - std::min(held, alreadyRecalled), count - recalled);
        alreadyRecalled += additional;
        recalled += additional;
    }
    return recalled;
}

addressed_grant slot_allocator::makeGrant(const holder_key& key, holder& item)
{
    slot_grant grant;
    grant.region = m_region;
    grant.epoch = m_epoch;
    grant.holder = key.start;
    grant.sequence = item.sequence;
    grant.revision = ++item.revision;
    grant.lease = m_options.lease;
    for (const auto& [upstream, count] : item.held) {
        if (m_upstreams.at(upstream).info.capacity > 0 && (!m_usable || m_usable(upstream.id)))
            grant.granted.push_back({ upstream.id, upstream.generation, count });
    }
    for (const auto& [upstream, count] : item.recalled) {
        if (count > 0)
            grant.recalled.push_back({ upstream.id, upstream.generation, count });
    }
    return { key.vm, std::move(grant) };
}

void slot_allocator::reclaim(holder& item)
{
    const auto held = item.held;
    for (const auto& [key, count] : held)
        setHeld(item, key, 0);
}

std::vector<addressed_grant> slot_allocator::tick(time_point now)
{
    reclaimFromSilentHolders(now);
    expireUnaccounted(now);
    const std::vector<holder_key> changed = allocateToWaitingHolders(nullptr, now);
    return makeGrants({ changed.begin(), changed.end() });
}

void slot_allocator::reclaimFromSilentHolders(time_point now)
{
    const duration reclaimDelay
        = m_options.waitForSilentHolders ? maximumUseTime() - m_options.lease : duration::zero();
    for (auto position = m_holders.begin(); position != m_holders.end();) {
        if (now < position->second.leaseEnd + reclaimDelay) {
            ++position;
            continue;
        }
        reclaim(position->second);
        position = m_holders.erase(position);
    }
}

std::uint32_t slot_allocator::allocated(const upstream_id& id) const
{
    std::uint32_t count = 0;
    for (const auto& [key, item] : m_upstreams)
        count += key.id == id ? item.allocated + item.unaccounted : 0;
    return count;
}

state_dump slot_allocator::dump(time_point now) const
{
    state_dump shown(m_region.value());
    shown.add("epoch", m_epoch.value());
    shown.add("unaccounted_vms", static_cast<std::uint64_t>(m_unaccountedVms.size()));
    state_dump& upstreams = shown.addObject("upstreams");
    for (const auto& [key, item] : m_upstreams) {
        state_dump& upstreamDump = upstreams.addObject(key.id.value());
        upstreamDump.add("capacity", static_cast<std::uint64_t>(item.info.capacity));
        upstreamDump.add("lent", static_cast<std::uint64_t>(item.allocated));
        upstreamDump.add("unaccounted", static_cast<std::uint64_t>(item.unaccounted));
        upstreamDump.add("available", static_cast<std::uint64_t>(available(item)));
    }
    state_dump& holders = shown.addObject("holders");
    for (const auto& [key, item] : m_holders) {
        state_dump& holderDump = holders.addObject(key.vm.value());
        holderDump.add("lease_left", duration(item.leaseEnd - now));
        holderDump.add("upstreams", static_cast<std::uint64_t>(item.held.size()));
    }
    return shown;
}

} // namespace plantainlatch
