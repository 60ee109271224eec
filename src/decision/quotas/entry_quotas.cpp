#include "decision/quotas/entry_quotas.h"

#include <algorithm>
#include <utility>

#include "decision/quotas/quota_division.h"

namespace plantainlatch {

namespace {

    /** The weight of the last interval in the average demand. With an interval of 0.5 s the average follows a change
     * within about 1.5 s, and an account of a few requests a second is not granted something else in each answer. */
    constexpr double newestWeight = 0.2;
    /** Heartbeats that are sent between the regular ones don't end an interval of measurement, which would be too short
     * for a rate. */
    constexpr duration minimumInterval = std::chrono::milliseconds(250);
    /** A lease is asked for if the demand exceeds this part of the base share, and returned below half of that. */
    constexpr double askingPart = 0.25;
    /** An account with less demand, in requests a second, is not in use. */
    constexpr double negligibleDemand = 0.02;
    /** The Retry-After time of an entry without a usable share: after two heartbeats it can have a lease. */
    constexpr duration shareRetryAfter = std::chrono::seconds(1);
    /** A token may be missing by less than a clock can tell. */
    constexpr duration minimumRetryAfter = std::chrono::milliseconds(1);
    /** The number of accounts whose refused requests are counted by name. */
    constexpr std::size_t maximumNames = 50;
    /** An account begins to be refused if it was not refused for this long. */
    constexpr duration refusalGap = std::chrono::seconds(10);

    double seconds(duration span) { return std::chrono::duration<double>(span).count(); }

} // namespace

quota_share entry_quotas::baseInForce(const account_quota& item)
{
    return item.isLent ? keptShare(item.base) : item.base;
}

bool entry_quotas::isLimited(const account_quota& item, time_point now) const
{
    return m_options.openFactor <= 0 || now < item.limitedUntil || now > m_lastContact + m_options.contactLimit;
}

void entry_quotas::applyShare(const account_id& account, account_quota& item, time_point now) const
{
    const quota_share open = openShare(item.limit, m_options.openFactor, account, m_entries, m_self);
    const bool limited = isLimited(item, now);
    item.bucket.setShare(limited ? baseInForce(item) + item.lease : open, now);
    item.bucket.setOverdraft(limited ? 0 : openOverdraft(item.limit, m_entries.size()));
}

void entry_quotas::settle(const account_id& account, account_quota& item, time_point now) const
{
    const auto endLease = [&] {
        if (item.grant == 0 || now < item.leaseEnds)
            return;
        item.lease = {};
        item.grant = 0;
        applyShare(account, item, item.leaseEnds);
    };
    const auto endLoan = [&] {
        if (!item.isLent || now < item.loanEnds)
            return;
        item.isLent = false;
        applyShare(account, item, item.loanEnds);
    };
    // In the order of time, as the bucket is filled up to each change at the former rate.
    if (item.leaseEnds <= item.loanEnds) {
        endLease();
        endLoan();
    } else {
        endLoan();
        endLease();
    }
    if (m_options.openFactor > 0)
        applyShare(account, item, now);
}

void entry_quotas::update(
    const std::map<account_id, client_account>& accounts, std::vector<vm_id> entries, time_point now)
{
    m_entries = std::move(entries);
    std::erase_if(m_accounts, [&](const auto& entry) {
        const auto account = accounts.find(entry.first);
        return account == accounts.end() || account->second.quota.ratePerSecond <= 0;
    });
    for (auto& [id, item] : m_accounts) {
        settle(id, item, now);
        item.limit = accounts.at(id).quota;
        item.base = baseShare(item.limit, id, m_entries, m_self);
        item.lease = smallerOf(item.lease, wholeShare(item.limit));
        applyShare(id, item, now);
    }
    std::erase_if(m_refused, [&](const auto& entry) { return !accounts.contains(entry.first); });
}

entry_quotas::account_quota* entry_quotas::find(
    const std::map<account_id, client_account>& accounts, const account_id& id, time_point now)
{
    const auto known = m_accounts.find(id);
    if (known != m_accounts.end()) {
        settle(id, known->second, now);
        return &known->second;
    }
    const auto account = accounts.find(id);
    if (account == accounts.end() || account->second.quota.ratePerSecond <= 0)
        return nullptr;
    const request_quota& limit = account->second.quota;
    const quota_share base = baseShare(limit, id, m_entries, m_self);
    // An earlier process of this VM may have used up or lent its share just before it ended.
    account_quota created { .limit = limit, .base = base, .bucket = quota_bucket(keptShare(base), 0, m_startedAt) };
    created.loanEnds = m_startedAt + m_options.lending;
    if (m_options.openFactor > 0) {
        // Base shares are not lent. An earlier process may have used its tokens and its overdraft.
        created.isLent = false;
        const double overdraft = openOverdraft(limit, m_entries.size());
        created.bucket
            = quota_bucket(openShare(limit, m_options.openFactor, id, m_entries, m_self), -overdraft, m_startedAt);
    }
    account_quota& item = m_accounts.emplace(id, created).first->second;
    settle(id, item, now);
    return &item;
}

quota_charge entry_quotas::acquire(
    const std::map<account_id, client_account>& accounts, const account_id& account, time_point now)
{
    quota_charge charge;
    account_quota* item = find(accounts, account, now);
    if (item == nullptr)
        return charge;
    ++item->requests;
    charge.verdict.admitted = item->bucket.tryAcquire(now);
    if (charge.verdict.admitted)
        return charge;
    charge.verdict.retryAfter = item->bucket.canAdmit()
        ? std::clamp(item->bucket.untilNext(now), minimumRetryAfter, shareRetryAfter)
        : shareRetryAfter;
    charge.beginsToRefuse = noteRefusal(account, now);
    return charge;
}

bool entry_quotas::noteRefusal(const account_id& account, time_point now)
{
    const auto known = m_refused.find(account);
    if (known != m_refused.end()) {
        ++known->second.count;
        return now - std::exchange(known->second.last, now) >= refusalGap;
    }
    if (m_refused.size() >= maximumNames) {
        ++m_otherRefused;
        return false;
    }
    m_refused[account] = { 1, now };
    return true;
}

void entry_quotas::refund(const account_id& account, time_point now)
{
    const auto found = m_accounts.find(account);
    if (found == m_accounts.end())
        return;
    settle(account, found->second, now);
    found->second.bucket.refund(now);
}

bool entry_quotas::isUnused(account_quota& item, time_point now)
{
    return item.isMeasured && item.requests == 0 && item.demand <= negligibleDemand && !item.isLent
        && item.bucket.isFull(now);
}

std::vector<account_demand> entry_quotas::report(time_point now)
{
    const duration interval = now - m_reportedAt;
    const bool measures = interval >= minimumInterval;
    if (measures)
        m_reportedAt = now;
    std::vector<account_demand> demands;
    for (auto position = m_accounts.begin(); position != m_accounts.end();) {
        auto& [id, item] = *position;
        settle(id, item, now);
        if (measures) {
            const double last = static_cast<double>(std::exchange(item.requests, 0)) / seconds(interval);
            // A single request must not count as two a second, which would limit a small account.
            const bool averages = item.isMeasured || !isLimited(item, now);
            item.demand = averages ? item.demand + newestWeight * (last - item.demand) : last;
            item.isMeasured = true;
        }
        const bool holdsLease = item.grant != 0 && item.lease != quota_share();
        const bool lends = item.grant != 0 && item.isAskedToLend;
        const double asksAbove = baseInForce(item).ratePerSecond * askingPart * (holdsLease ? 0.5 : 1);
        const bool asks = item.demand > std::max(asksAbove, negligibleDemand);
        if (asks || holdsLease || lends || item.reportsEndOfLease) {
            const quota_share kept = lends ? baseInForce(item) : item.base;
            demands.push_back({ id, asks ? item.demand : 0, item.lease.ratePerSecond, item.lease.capacity, item.grant,
                item.base.ratePerSecond - kept.ratePerSecond, item.base.capacity - kept.capacity });
        } else if (isUnused(item, now)) {
            position = m_accounts.erase(position);
            continue;
        }
        item.reportsEndOfLease = false;
        ++position;
    }
    return demands;
}

void entry_quotas::receive(const std::map<account_id, client_account>& accounts, const heartbeat_answer& answer,
    time_point sentAt, time_point now)
{
    const time_point ends = sentAt + answer.accountLease;
    if (ends <= now)
        return;
    m_lastContact = std::max(m_lastContact, sentAt);
    for (const account_id& id : answer.limitedAccounts) {
        if (account_quota* item = find(accounts, id, now))
            item->limitedUntil = now + m_options.limiting;
    }
    for (const account_lease& granted : answer.accountLeases) {
        const bool isInUse = m_accounts.contains(granted.account);
        account_quota* item = isInUse || granted.lendsBase ? find(accounts, granted.account, now) : nullptr;
        if (item == nullptr)
            continue;
        const bool heldLease = item->lease != quota_share();
        item->lease = smallerOf({ granted.ratePerSecond, granted.capacity }, wholeShare(item->limit));
        item->leaseEnds = ends;
        item->grant = answer.sequence;
        item->reportsEndOfLease = heldLease && item->lease == quota_share();
        item->isAskedToLend = granted.lendsBase;
        if (granted.lendsBase) {
            item->isLent = true;
            item->loanEnds = std::max(item->loanEnds, now + m_options.lending);
        }
        applyShare(granted.account, *item, now);
        item->bucket.put(granted.tokens, now);
    }
}

void entry_quotas::dumpTo(state_dump& shown, time_point now) const
{
    quota_share base;
    quota_share leased;
    std::uint64_t leases = 0;
    for (auto [id, item] : m_accounts) {
        settle(id, item, now);
        base = base + baseInForce(item);
        if (item.lease == quota_share())
            continue;
        leased = leased + item.lease;
        ++leases;
    }
    shown.add("active_accounts", static_cast<std::uint64_t>(m_accounts.size()));
    shown.add("leases", leases);
    shown.add("base_rate", base.ratePerSecond);
    shown.add("leased_rate", leased.ratePerSecond);
    shown.add("base_capacity", base.capacity);
    shown.add("leased_capacity", leased.capacity);
    state_dump& refused = shown.addObject("refused");
    for (const auto& [id, item] : m_refused)
        refused.add(id.value(), item.count);
    shown.add("refused_others", m_otherRefused);
}

} // namespace plantainlatch
