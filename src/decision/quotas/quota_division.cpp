#include "decision/quotas/quota_division.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace plantainlatch {

namespace {

    /** Leases are sized for this much more than the demand, since demand is random and its average lags behind. */
    constexpr double headroom = 1.1;
    /** Makes the choice of holders stable if there are fewer tokens than entries with demand. */
    constexpr double preferenceOfHolders = 2;
    /** Records are pruned this often; a lease that has ended is not counted in between. */
    constexpr duration pruneInterval = std::chrono::seconds(1);

    std::uint64_t rankOf(const vm_id& vm, const account_id& account)
    {
        const XXH64_hash_t seed = XXH3_64bits(account.value().data(), account.value().size());
        return XXH3_64bits_withSeed(vm.value().data(), vm.value().size(), seed);
    }

    double capacityOf(const request_quota& quota) { return std::max(1.0, quota.burst); }

    /** Whether there are at least `limit` askers that are preferred to the one at `index`. */
    bool isBehind(const std::vector<quota_asker>& askers, std::size_t index, std::size_t limit)
    {
        const auto weight
            = [&](std::size_t i) { return askers[i].perSecond * (askers[i].holdsLease ? preferenceOfHolders : 1); };
        std::size_t before = 0;
        for (std::size_t i = 0; i < askers.size(); ++i) {
            if (weight(i) > weight(index) || (weight(i) == weight(index) && i < index))
                ++before;
        }
        return before >= limit;
    }

    std::vector<double> excessDemands(double baseRate, const std::vector<quota_asker>& askers)
    {
        std::vector<double> excess;
        excess.reserve(askers.size());
        for (const quota_asker& asker : askers)
            excess.push_back(std::max(0.0, asker.perSecond * headroom - baseRate));
        return excess;
    }

    quota_share smallerOf(const quota_share& left, const quota_share& right)
    {
        return { std::min(left.ratePerSecond, right.ratePerSecond), std::min(left.capacity, right.capacity) };
    }

} // namespace

quota_share baseTotal(const request_quota& quota)
{
    const double capacity = std::floor(capacityOf(quota) / 2);
    return { capacity > 0 ? quota.ratePerSecond / 2 : 0, capacity };
}

quota_share leasablePart(const request_quota& quota)
{
    const quota_share base = baseTotal(quota);
    return { quota.ratePerSecond - base.ratePerSecond, capacityOf(quota) - base.capacity };
}

quota_share baseShare(
    const request_quota& quota, const account_id& account, const std::vector<vm_id>& entries, const vm_id& self)
{
    const quota_share total = baseTotal(quota);
    if (total.capacity < 1 || std::find(entries.begin(), entries.end(), self) == entries.end())
        return {};
    const auto tokens = static_cast<double>(entries.size());
    if (total.capacity >= tokens)
        return { total.ratePerSecond / tokens, total.capacity / tokens };
    const std::uint64_t own = rankOf(self, account);
    const auto before = std::count_if(
        entries.begin(), entries.end(), [&](const vm_id& vm) { return vm != self && rankOf(vm, account) < own; });
    if (static_cast<double>(before) >= total.capacity)
        return {};
    return { total.ratePerSecond / total.capacity, 1 };
}

quota_share leaseTarget(
    const quota_share& leasable, double baseRate, const std::vector<quota_asker>& askers, std::size_t index)
{
    // Less than one token admits no request, so each holder gets at least one.
    const auto maximumHolders = static_cast<std::size_t>(leasable.capacity);
    if (askers.size() > maximumHolders) {
        if (isBehind(askers, index, maximumHolders))
            return {};
        const auto holders = static_cast<double>(maximumHolders);
        return { leasable.ratePerSecond / holders, leasable.capacity / holders };
    }
    const std::vector<double> excess = excessDemands(baseRate, askers);
    double total = 0;
    for (const double item : excess)
        total += item;
    const auto count = static_cast<double>(askers.size());
    const double rate = total <= leasable.ratePerSecond ? excess[index] + (leasable.ratePerSecond - total) / count
                                                        : leasable.ratePerSecond * excess[index] / total;
    return { rate, leasable.capacity / count };
}

quota_share quota_leases::reservedBy(const holder_record& item, time_point now) const
{
    if (!m_options.reservesEarlierLeases)
        return item.leases.empty() ? quota_share() : item.leases.back().share;
    quota_share maximum;
    for (const granted_lease& lease : item.leases) {
        if (lease.reservedUntil <= now)
            continue;
        maximum.ratePerSecond = std::max(maximum.ratePerSecond, lease.share.ratePerSecond);
        maximum.capacity = std::max(maximum.capacity, lease.share.capacity);
    }
    return maximum;
}

quota_share quota_leases::reserved(const account_id& account, time_point now) const
{
    quota_share sum;
    const auto found = m_accounts.find(account);
    if (found == m_accounts.end())
        return sum;
    for (const auto& [vm, item] : found->second) {
        const quota_share one = reservedBy(item, now);
        sum.ratePerSecond += one.ratePerSecond;
        sum.capacity += one.capacity;
    }
    return sum;
}

void quota_leases::prune(time_point now)
{
    if (now < m_prunedAt + pruneInterval)
        return;
    m_prunedAt = now;
    for (auto& [account, record] : m_accounts) {
        for (auto& [vm, item] : record)
            std::erase_if(item.leases, [&](const granted_lease& lease) { return lease.reservedUntil <= now; });
        std::erase_if(
            record, [&](const auto& entry) { return entry.second.leases.empty() && entry.second.demandEnds <= now; });
    }
    std::erase_if(m_accounts, [](const auto& entry) { return entry.second.empty(); });
}

void quota_leases::answer(const std::map<account_id, client_account>& accounts, std::size_t entryCount,
    const vm_heartbeat& heartbeat, heartbeat_answer& answer, time_point now)
{
    prune(now);
    answer.accountLease = m_options.lease;
    for (const account_demand& demand : heartbeat.accountDemand) {
        const auto account = accounts.find(demand.account);
        if (account == accounts.end() || account->second.quota.ratePerSecond <= 0)
            continue;
        const quota_share granted = grant(account->second.quota, entryCount, heartbeat, demand, now);
        answer.accountLeases.push_back({ demand.account, granted.ratePerSecond, granted.capacity });
    }
}

quota_share quota_leases::grant(const request_quota& quota, std::size_t entryCount, const vm_heartbeat& heartbeat,
    const account_demand& demand, time_point now)
{
    account_record& record = m_accounts[demand.account];
    holder_record& own = record[{ heartbeat.vm, heartbeat.start }];
    // A heartbeat that arrives after a later one: its answer may come after the later one's, and is then ignored.
    if (heartbeat.sequence <= own.lastSequence)
        return {};
    own.lastSequence = heartbeat.sequence;
    own.perSecond = demand.perSecond;
    own.demandEnds = now + m_options.lease;
    std::erase_if(own.leases, [&](const granted_lease& lease) { return lease.sequence < demand.grant; });

    quota_share others;
    std::vector<quota_asker> askers;
    std::size_t index = 0;
    for (const auto& [vm, item] : record) {
        const quota_share reservedShare = reservedBy(item, now);
        if (&item == &own) {
            index = askers.size();
        } else {
            others.ratePerSecond += reservedShare.ratePerSecond;
            others.capacity += reservedShare.capacity;
        }
        if (item.perSecond > 0 && item.demandEnds > now)
            askers.push_back({ item.perSecond, reservedShare.capacity > 0 });
    }
    const quota_share leasable = leasablePart(quota);
    quota_share granted;
    if (demand.perSecond > 0) {
        const double baseRate
            = baseTotal(quota).ratePerSecond / static_cast<double>(std::max<std::size_t>(1, entryCount));
        const quota_share available { std::max(0.0, leasable.ratePerSecond - others.ratePerSecond),
            std::max(0.0, leasable.capacity - others.capacity) };
        granted = smallerOf(leaseTarget(leasable, baseRate, askers, index), available);
    }
    if (now < m_earlierLeasesEnd)
        granted = smallerOf(granted, { demand.heldRate, demand.heldCapacity });
    own.leases.push_back({ heartbeat.sequence, granted, now + m_options.lease + m_options.drift });
    return granted;
}

} // namespace plantainlatch
