#pragma once

/** \file
 * Divides the quota of an account among the entries: base shares, which need no message, and leases by demand.
 */

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "decision/quotas/quota_bucket.h"
#include "model/client_account.h"
#include "model/control_message.h"

namespace plantainlatch {

/** Options of the division of quotas. */
struct quota_division_options {
    /** How long a lease is valid, from the time when the entry sent its heartbeat. */
    duration lease = std::chrono::seconds(2);
    /** Added to the time for which the leader keeps a lease reserved, to tolerate differences in clock rate. */
    duration drift = std::chrono::milliseconds(100);
    /** How long an entry lends its base share after it has received an answer that asks for it. Long enough for leases
     * of the lent part to end before, and short, as an entry that starts has only the part that is never lent for this
     * long: its earlier process may have lent the rest. */
    duration lending = std::chrono::seconds(6);
    /** Requests by which the sum of all entries may exceed the burst. They are divided like the burst, so that an entry
     * has a token for the occasional request of a small account. */
    double slack = 0;
    /** While an account is not limited, each entry has an even part of this many times the rate, and no leases count.
     * 0 if accounts are always limited. An account whose demand rises suddenly is limited after two heartbeats; until
     * then it exceeds the rate by at most this factor, which the tolerance of the deployment must allow. */
    double openFactor = 0;
    /** How long an account stays limited after its demand has fallen, and on an entry after the leader last said so:
     * the window over which quotas are counted. */
    duration limiting = std::chrono::seconds(5);
    /** An entry without an answer of the leader for this long limits all accounts. */
    duration contactLimit = std::chrono::milliseconds(1200);
    /** Keeps earlier leases of a holder reserved until they have ended or are superseded. If false, only the latest
     * one is reserved, and a quota can be exceeded; tests use this to show that the reservation is needed. */
    bool reservesEarlierLeases = true;
};

/** The token bucket of a quota. Without a burst it would admit no request; such a quota has a bucket that stays within
 * the rate in windows of 5 s. */
quota_share wholeShare(const request_quota& quota);

/** Adds the slack to the burst of each account. */
std::map<account_id, client_account> withSlack(std::map<account_id, client_account> accounts, double slack);

/** The part of a quota that all base shares have together. The capacity is a whole number, as less than one token
 * admits no request. */
quota_share baseTotal(const request_quota& quota);

/** The part of a quota that is leased by demand. */
quota_share leasablePart(const request_quota& quota);

/** The base share of an entry: an even part of baseTotal(), or nothing if the entry is not in the list. With fewer
 * tokens than entries, those with the lowest hashes for the account share it, with one token each. */
quota_share baseShare(
    const request_quota& quota, const account_id& account, const std::vector<vm_id>& entries, const vm_id& self);

/** The share of an entry in a quota that is not limited. */
quota_share openShare(const request_quota& quota, double factor, const account_id& account,
    const std::vector<vm_id>& entries, const vm_id& self);

/** By how many tokens an entry may overdraw its open share: a small account has fewer tokens than entries, but its
 * requests come to any of them. An account that is limited repays them first, so no window admits more by them. */
double openOverdraft(const request_quota& quota, std::size_t entryCount);

/** An even part of `total`; with fewer tokens than entries, one token at those with the lowest hashes for the account.
 */
quota_share evenShare(
    const quota_share& total, const account_id& account, const std::vector<vm_id>& entries, const vm_id& self);

/** The part of a base share that an entry keeps while it lends the rest. */
quota_share keptShare(const quota_share& base);

/** An entry that reports demand for an account. */
struct quota_asker {
    double perSecond = 0;
    bool holdsLease = false;
};

/** By how much the demand of all askers together, with headroom, exceeds their base shares, in requests a second. */
double excessDemand(double baseRate, const std::vector<quota_asker>& askers);

/** The lease that `askers[index]` should have. Each asker gets what its demand, with headroom, exceeds the base share
 * by, or a proportional part if that is too much; the rest is divided evenly. */
quota_share leaseTarget(
    const quota_share& leasable, double baseRate, const std::vector<quota_asker>& askers, std::size_t index);

/** The leader's leases. At every moment the leases of an account that entries may hold add up to at most the leasable
 * part and what entries lend of their base shares, also across a change of leader. If the demand exceeds the leasable
 * part, all entries are asked to lend. */
class quota_leases {
public:
    quota_leases(quota_division_options options, time_point termBegan)
        : m_options(options)
        , m_earlierLeasesEnd(termBegan + options.lease + options.drift)
    {
    }

    /** Answers the demand in a heartbeat. Until the leases of an earlier leader must have ended, an entry is granted at
     * most what it holds. */
    void answer(const std::map<account_id, client_account>& accounts, const std::vector<vm_id>& entries,
        const vm_heartbeat& heartbeat, heartbeat_answer& answer, time_point now);

    std::size_t accounts() const { return m_accounts.size(); }

private:
    /** One incarnation of an entry. */
    using holder = std::pair<vm_id, incarnation>;

    struct granted_lease {
        /** The sequence of the heartbeat that was answered. */
        std::uint64_t sequence = 0;
        quota_share share;
        time_point answeredAt {};
        time_point reservedUntil {};
        bool lendsBase = false;
    };

    struct holder_record {
        double perSecond = 0;
        /** The demand is not counted after this, if no later heartbeat reports it. */
        time_point demandEnds {};
        std::uint64_t lastSequence = 0;
        std::vector<granted_lease> leases;
        /** What the entry lends of its base share until `lentUntil` at least. */
        quota_share lent;
        time_point lentUntil {};
    };

    struct account_record {
        std::map<holder, holder_record> holders;
        /** The demand exceeds the leasable part, so base shares are lent. */
        bool needsLoans = false;
        /** The demand is near or above the rate, so that entries keep to their base shares and leases. */
        time_point limitedUntil {};
        /** Fills with the part of the leasable part that is not reserved. */
        quota_bucket unleased;
        quota_share leasable;
    };

    void prune(time_point now);
    /** Drops the loans of entries that left the list: their base shares have passed to the others. */
    void updateEntries(const std::vector<vm_id>& entries);
    quota_share reservedBy(const holder_record& item, time_point now) const;
    void noteLoan(holder_record& item, const account_demand& demand) const;
    /** What can be leased until a lease that is granted now ends: the leasable part and the loans. */
    quota_share pool(const request_quota& quota, const account_record& record, time_point now) const;
    account_record& recordOf(const account_id& account, const request_quota& quota);
    account_lease grant(const request_quota& quota, std::size_t entryCount, const vm_heartbeat& heartbeat,
        const account_demand& demand, time_point now);

    quota_division_options m_options;
    time_point m_earlierLeasesEnd;
    time_point m_prunedAt {};
    std::vector<vm_id> m_entries;
    std::map<account_id, account_record> m_accounts;
};

} // namespace plantainlatch
