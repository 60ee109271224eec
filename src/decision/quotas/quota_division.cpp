#include "decision/quotas/quota_division.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include <xxhash.h>

namespace plantainlatch {

namespace {

    /** Leases are sized for this much more than the demand, since demand is random and its average lags behind. */
    constexpr double headroom = 1.1;
    /** Makes the choice of holders stable if there are fewer tokens than entries with demand. */
    constexpr double preferenceOfHolders = 2;
    /** Records are pruned this often; a lease that has ended is not counted in between. */
    constexpr duration pruneInterval = std::chrono::seconds(1);
    /** The requests of an account with fewer tokens come to an entry one at a time, so a lease by demand arrives too
     * late for them: all of its quota is base shares. */
    constexpr double smallQuota = 50;
    /** An account is limited if its reported demand exceeds this part of its rate. Entries with little demand don't
     * report it; together they have at most an eighth of the rate. */
    constexpr double limitingDemand = 0.9;
    /** The tokens that each entry should have for random requests while an account is not limited. */
    constexpr double openTokens = 3;
    /** An overdraft must be repaid at the rate of the quota within what is left of a window of 5 s when the account is
     * limited, which takes up to 1.2 s. */
    constexpr double overdraftTime = 3.8;
    /** The part of its base share that an entry keeps while it lends the rest, for requests that begin suddenly. */
    constexpr double keptPart = 0.125;
    /** An entry that holds no lease gets at most this part of what is available, as the first heartbeats of others
     * whose demand began at the same time are still to come. */
    constexpr double firstPart = 0.25;
    /** The capacity of a quota without a burst, in seconds of its rate. Its rate is lowered by a tenth, so that a
     * window of 5 s admits no more than without the capacity. */
    constexpr double secondsWithoutBurst = 0.5;
    constexpr double windowSeconds = 5;
    /** Loans end when the demand is below this part of what can be leased without them. */
    constexpr double endOfLoans = 0.8;

    std::uint64_t rankOf(const vm_id& vm, const account_id& account)
    {
        const XXH64_hash_t seed = XXH3_64bits(account.value().data(), account.value().size());
        return XXH3_64bits_withSeed(vm.value().data(), vm.value().size(), seed);
    }

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

    double excessOf(double baseRate, const quota_asker& asker)
    {
        return std::max(0.0, asker.perSecond * headroom - baseRate);
    }

    quota_share remainder(const quota_share& whole, const quota_share& used)
    {
        return { std::max(0.0, whole.ratePerSecond - used.ratePerSecond),
            std::max(0.0, whole.capacity - used.capacity) };
    }

} // namespace

quota_share wholeShare(const request_quota& quota)
{
    if (quota.burst >= 1)
        return { quota.ratePerSecond, quota.burst };
    const double capacity = std::max(1.0, quota.ratePerSecond * secondsWithoutBurst);
    const double rate = quota.ratePerSecond - (capacity - quota.burst) / windowSeconds;
    return { std::max(rate, quota.ratePerSecond / 2), capacity };
}

std::map<account_id, client_account> withSlack(std::map<account_id, client_account> accounts, double slack)
{
    for (auto& [id, account] : accounts)
        account.quota.burst += slack;
    return accounts;
}

quota_share baseTotal(const request_quota& quota)
{
    const quota_share whole = wholeShare(quota);
    if (whole.capacity < smallQuota)
        return { whole.ratePerSecond, std::floor(whole.capacity) };
    const double capacity = std::floor(whole.capacity / 2);
    return { capacity > 0 ? whole.ratePerSecond / 2 : 0, capacity };
}

quota_share leasablePart(const request_quota& quota) { return remainder(wholeShare(quota), baseTotal(quota)); }

quota_share baseShare(
    const request_quota& quota, const account_id& account, const std::vector<vm_id>& entries, const vm_id& self)
{
    return evenShare(baseTotal(quota), account, entries, self);
}

quota_share openShare(const request_quota& quota, double factor, const account_id& account,
    const std::vector<vm_id>& entries, const vm_id& self)
{
    const quota_share whole = wholeShare(quota);
    if (openOverdraft(quota, entries.size()) <= 0)
        return evenShare({ whole.ratePerSecond * factor, std::floor(whole.capacity) }, account, entries, self);
    if (std::find(entries.begin(), entries.end(), self) == entries.end())
        return {};
    const auto count = static_cast<double>(entries.size());
    return { whole.ratePerSecond * factor / count, whole.capacity / count };
}

double openOverdraft(const request_quota& quota, std::size_t entryCount)
{
    if (entryCount == 0)
        return 0;
    const quota_share whole = wholeShare(quota);
    const auto count = static_cast<double>(entryCount);
    const double missing = openTokens * count - whole.capacity;
    const double overdraft = std::max(0.0, std::min(missing, whole.ratePerSecond * overdraftTime));
    // Less than one token admits no request; whole tokens at some of the entries are better.
    return whole.capacity + overdraft >= count ? overdraft / count : 0;
}

quota_share evenShare(
    const quota_share& total, const account_id& account, const std::vector<vm_id>& entries, const vm_id& self)
{
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

quota_share keptShare(const quota_share& base)
{
    return { base.ratePerSecond * keptPart, std::min(base.capacity, std::max(1.0, base.capacity * keptPart)) };
}

double excessDemand(double baseRate, const std::vector<quota_asker>& askers)
{
    return std::accumulate(askers.begin(), askers.end(), 0.0,
        [=](double sum, const quota_asker& asker) { return sum + excessOf(baseRate, asker); });
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
    const double total = excessDemand(baseRate, askers);
    const double excess = excessOf(baseRate, askers[index]);
    const auto count = static_cast<double>(askers.size());
    const double rate = total <= leasable.ratePerSecond ? excess + (leasable.ratePerSecond - total) / count
                                                        : leasable.ratePerSecond * excess / total;
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

void quota_leases::prune(time_point now)
{
    if (now < m_prunedAt + pruneInterval)
        return;
    m_prunedAt = now;
    for (auto& [account, record] : m_accounts) {
        for (auto& [vm, item] : record.holders)
            std::erase_if(item.leases, [&](const granted_lease& lease) { return lease.reservedUntil <= now; });
        std::erase_if(record.holders, [&](const auto& entry) {
            const holder_record& item = entry.second;
            return item.leases.empty() && item.demandEnds <= now && item.lentUntil <= now;
        });
    }
    for (auto position = m_accounts.begin(); position != m_accounts.end();) {
        account_record& record = position->second;
        if (record.holders.empty())
            record.unleased.setShare(record.leasable, now);
        position = record.holders.empty() && record.unleased.isFull(now) ? m_accounts.erase(position) : ++position;
    }
}

void quota_leases::updateEntries(const std::vector<vm_id>& entries)
{
    if (entries == m_entries)
        return;
    m_entries = entries;
    for (auto& [account, record] : m_accounts) {
        for (auto& [vm, item] : record.holders) {
            if (std::find(entries.begin(), entries.end(), vm.first) == entries.end())
                item.lent = {};
        }
    }
}

void quota_leases::answer(const std::map<account_id, client_account>& accounts, const std::vector<vm_id>& entries,
    const vm_heartbeat& heartbeat, heartbeat_answer& answer, time_point now)
{
    if (std::find(entries.begin(), entries.end(), heartbeat.vm) == entries.end())
        return;
    prune(now);
    updateEntries(entries);
    answer.accountLease = m_options.lease;
    const auto add = [&](const account_demand& demand) {
        const auto account = accounts.find(demand.account);
        if (account != accounts.end() && account->second.quota.ratePerSecond > 0)
            answer.accountLeases.push_back(grant(account->second.quota, entries.size(), heartbeat, demand, now));
    };
    for (const account_demand& demand : heartbeat.accountDemand)
        add(demand);
    for (const auto& [id, record] : m_accounts) {
        const bool isReported = std::any_of(heartbeat.accountDemand.begin(), heartbeat.accountDemand.end(),
            [&name = id](const account_demand& demand) { return demand.account == name; });
        if (record.needsLoans && !isReported)
            add({ .account = id });
    }
    for (const auto& [id, record] : m_accounts) {
        if (record.limitedUntil > now)
            answer.limitedAccounts.push_back(id);
    }
}

void quota_leases::noteLoan(holder_record& item, const account_demand& demand) const
{
    const quota_share lent { demand.lentRate, demand.lentCapacity };
    const auto asked = std::find_if(item.leases.begin(), item.leases.end(),
        [&](const granted_lease& lease) { return lease.sequence == demand.grant && lease.lendsBase; });
    if (asked == item.leases.end()) {
        item.lent = smallerOf(item.lent, lent);
        return;
    }
    // The entry received the answer after it was sent, and lends from then on.
    item.lent = lent;
    item.lentUntil = asked->answeredAt + m_options.lending - m_options.drift;
}

quota_share quota_leases::pool(const request_quota& quota, const account_record& record, time_point now) const
{
    quota_share lent;
    for (const auto& [vm, item] : record.holders) {
        if (item.lentUntil >= now + m_options.lease + m_options.drift)
            lent = lent + item.lent;
    }
    // The loans may be stated for a limit that was lowered since.
    const quota_share base = baseTotal(quota);
    return leasablePart(quota) + smallerOf(lent, { base.ratePerSecond * (1 - keptPart), base.capacity });
}

quota_leases::account_record& quota_leases::recordOf(const account_id& account, const request_quota& quota)
{
    const auto found = m_accounts.find(account);
    if (found != m_accounts.end())
        return found->second;
    // Nothing was leased since the leases of an earlier leader ended, as a record is kept until `unleased` is full.
    account_record created { .unleased = quota_bucket(leasablePart(quota), 0, m_earlierLeasesEnd) };
    return m_accounts.emplace(account, std::move(created)).first->second;
}

account_lease quota_leases::grant(const request_quota& quota, std::size_t entryCount, const vm_heartbeat& heartbeat,
    const account_demand& demand, time_point now)
{
    account_record& record = recordOf(demand.account, quota);
    record.leasable = leasablePart(quota);
    holder_record& own = record.holders[{ heartbeat.vm, heartbeat.start }];
    // A heartbeat that arrives after a later one: its answer may come after the later one's, and is then ignored.
    if (heartbeat.sequence <= own.lastSequence)
        return { .account = demand.account };
    own.lastSequence = heartbeat.sequence;
    own.perSecond = demand.perSecond;
    own.demandEnds = now + m_options.lease;
    const quota_share ownBefore = reservedBy(own, now);
    noteLoan(own, demand);
    std::erase_if(own.leases, [&](const granted_lease& lease) { return lease.sequence < demand.grant; });

    quota_share others;
    std::vector<quota_asker> askers;
    std::size_t index = 0;
    for (const auto& [vm, item] : record.holders) {
        const quota_share reservedShare = reservedBy(item, now);
        if (&item == &own)
            index = askers.size();
        else
            others = others + reservedShare;
        if (item.perSecond > 0 && item.demandEnds > now)
            askers.push_back({ item.perSecond, reservedShare.capacity > 0 });
    }
    const quota_share base = baseTotal(quota);
    const double baseRate = base.ratePerSecond / static_cast<double>(entryCount);
    const double limit = record.leasable.ratePerSecond * (record.needsLoans ? endOfLoans : 1);
    const double demanded = std::accumulate(
        askers.begin(), askers.end(), 0.0, [](double sum, const quota_asker& asker) { return sum + asker.perSecond; });
    if (demanded > wholeShare(quota).ratePerSecond * limitingDemand)
        record.limitedUntil = now + m_options.limiting;
    // Without a leasable part, base shares stay where they are: requests of a small account come to all entries. Where
    // accounts are open below their rate, loans would only take the base shares of entries that lose the leader.
    record.needsLoans
        = m_options.openFactor <= 0 && record.leasable.capacity >= 1 && excessDemand(baseRate, askers) > limit;
    quota_share granted;
    if (demand.perSecond > 0) {
        const quota_share total = pool(quota, record, now);
        const double keptRate = record.needsLoans ? baseRate * keptPart : baseRate;
        quota_share available = remainder(total, others);
        if (ownBefore.ratePerSecond <= 0)
            available = { available.ratePerSecond * firstPart, available.capacity * firstPart };
        granted = smallerOf(leaseTarget(total, keptRate, askers, index), available);
    }
    if (now < m_earlierLeasesEnd)
        granted = smallerOf(granted, { demand.heldRate, demand.heldCapacity });
    own.leases.push_back(
        { heartbeat.sequence, granted, now, now + m_options.lease + m_options.drift, record.needsLoans });
    // Tokens only for capacity that the entry could not have filled under an earlier lease.
    const quota_share ownReserved = reservedBy(own, now);
    const double tokens = record.unleased.take(granted.capacity - ownBefore.capacity, now);
    record.unleased.setShare(remainder(record.leasable, others + ownReserved), now);
    return { demand.account, granted.ratePerSecond, granted.capacity, record.needsLoans, tokens };
}

} // namespace plantainlatch
