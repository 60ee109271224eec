#pragma once

/** \file
 * The quotas of client accounts on an entry: a bucket for each account in use, its demand and its lease.
 */

#include <cstdint>
#include <map>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "decision/quotas/quota_bucket.h"
#include "decision/quotas/quota_division.h"
#include "kernel/state_dump.h"
#include "model/client_account.h"
#include "model/control_message.h"
#include "ports/quota_port.h"

namespace plantainlatch {

/** The answer to a request that is charged to its account. */
struct quota_charge {
    quota_verdict verdict;
    /** The account is refused for the first time in a while. */
    bool beginsToRefuse = false;
};

/** Charges requests to this entry's shares of the quotas. An account without requests and without a lease uses no
 * memory here after a while. */
class entry_quotas {
public:
    /** No earlier process of this VM has charged a request after `startedAt`. */
    entry_quotas(vm_id self, time_point startedAt, const quota_division_options& options)
        : m_self(std::move(self))
        , m_options(options)
        , m_startedAt(startedAt)
        , m_reportedAt(startedAt)
    {
    }

    /** Applies the limits and the list of entries. */
    void update(const std::map<account_id, client_account>& accounts, std::vector<vm_id> entries, time_point now);

    quota_charge acquire(
        const std::map<account_id, client_account>& accounts, const account_id& account, time_point now);
    void refund(const account_id& account, time_point now);

    /** The demand to report in a heartbeat that is sent now. Forgets accounts that are no longer in use. */
    std::vector<account_demand> report(time_point now);
    /** Applies the leases in the answer to a heartbeat. */
    void receive(const std::map<account_id, client_account>& accounts, const heartbeat_answer& answer,
        time_point sentAt, time_point now);

    void dumpTo(state_dump& shown, time_point now) const;

private:
    struct account_quota {
        request_quota limit;
        quota_share base;
        quota_share lease;
        time_point leaseEnds {};
        /** The sequence of the heartbeat whose answer granted the lease; 0 without a lease. */
        std::uint64_t grant = 0;
        quota_bucket bucket;
        /** Most of the base share is lent until `loanEnds`. */
        bool isLent = true;
        time_point loanEnds {};
        /** The answer that granted the lease asks for the loan. */
        bool isAskedToLend = false;
        std::uint64_t requests = 0;
        /** Requests a second, averaged. */
        double demand = 0;
        bool isMeasured = false;
        /** The leader has said that the account is near or above its quota. */
        time_point limitedUntil {};
        /** The leader does not know yet that its last answer ended the lease. */
        bool reportsEndOfLease = false;
    };

    account_quota* find(
        const std::map<account_id, client_account>& accounts, const account_id& account, time_point now);
    /** Ends the lease and the loan if they are over. */
    void settle(const account_id& account, account_quota& item, time_point now) const;
    static quota_share baseInForce(const account_quota& item);
    /** Whether the account keeps to its base share and lease. */
    bool isLimited(const account_quota& item, time_point now) const;
    /** Nothing is lost if the account is forgotten. */
    static bool isUnused(account_quota& item, time_point now);
    void applyShare(const account_id& account, account_quota& item, time_point now) const;
    bool noteRefusal(const account_id& account, time_point now);

    vm_id m_self;
    quota_division_options m_options;
    /** When the last heartbeat was sent that the leader answered. */
    time_point m_lastContact {};
    time_point m_startedAt;
    time_point m_reportedAt;
    std::vector<vm_id> m_entries;
    std::map<account_id, account_quota> m_accounts;
    struct refused_account {
        std::uint64_t count = 0;
        time_point last {};
    };
    std::map<account_id, refused_account> m_refused;
    /** Refused requests of accounts that are not in m_refused. */
    std::uint64_t m_otherRefused = 0;
};

} // namespace plantainlatch
