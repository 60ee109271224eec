#pragma once

/** \file
 * Messages between VMs: forwarded announcements, and heartbeats with measurements, leases and quotas.
 */

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "model/upstream.h"

namespace plantainlatch {

/** An announcement that a VM forwards to the VM that tracks the renewals of the upstream's region. */
struct forwarded_announcement {
    upstream_announcement announcement;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.announcement);
    }
};

/** One VM's measurements of one service in one failure domain over the last heartbeat interval. */
struct service_measurement {
    service_id service;
    failure_domain_id failureDomain;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    /** Median and 95th percentile of the latencies of answered requests. */
    duration medianLatency {};
    duration p95Latency {};

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.service, self.failureDomain, self.answered, self.failed, self.refused, self.medianLatency,
            self.p95Latency);
    }
};

/** The role of a region's slot allocator under one epoch. */
struct allocator_role {
    region_id region;
    allocator_epoch epoch;

    friend auto operator<=>(const allocator_role&, const allocator_role&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.region, self.epoch);
    }
};

/** A VM's quota of a shift's rate cap: the most requests that it may shift to the target within any window. */
struct shift_quota {
    shift_id shift;
    std::uint32_t perWindow = 0;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.shift, self.perWindow);
    }
};

/** One VM's use of its quota of a shift since the last heartbeat: admitted requests, and all that requested admission.
 */
struct shift_usage {
    shift_id shift;
    std::uint64_t admitted = 0;
    std::uint64_t requested = 0;
    /** The quota that is valid when the heartbeat is sent. */
    std::uint32_t held = 0;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.shift, self.admitted, self.requested, self.held);
    }
};

/** An entry's demand for the quota of a client account, and the lease that it holds when the heartbeat is sent. */
struct account_demand {
    account_id account;
    /** Requests a second, also those beyond the quota; 0 to give the lease back. */
    double perSecond = 0;
    double heldRate = 0;
    double heldCapacity = 0;
    /** The sequence of the heartbeat whose answer granted the lease; 0 if the entry holds none. The entry ignores the
     * answers to earlier heartbeats. */
    std::uint64_t grant = 0;
    /** What the entry lends of its base share, as that answer asked for; 0 if it did not. */
    double lentRate = 0;
    double lentCapacity = 0;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.account, self.perSecond, self.heldRate, self.heldCapacity, self.grant, self.lentRate,
            self.lentCapacity);
    }
};

/** The part of an account's quota that the leader leases to an entry, in addition to its base share. */
struct account_lease {
    account_id account;
    double ratePerSecond = 0;
    double capacity = 0;
    /** The entry is to lend most of its base share, as the demand elsewhere exceeds what can be leased. */
    bool lendsBase = false;
    /** Tokens that accumulated while the capacity was not leased. */
    double tokens = 0;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.account, self.ratePerSecond, self.capacity, self.lendsBase, self.tokens);
    }
};

/** A VM's periodic report to the leader. */
struct vm_heartbeat {
    vm_id vm;
    incarnation start;
    std::uint64_t sequence = 0;
    log_index applied;
    /** The number of the configuration in force on the VM. */
    change_number inForce;
    bool draining = false;
    std::uint64_t requestsInFlight = 0;
    std::vector<service_measurement> measurements;
    /** The term of the leader to which the heartbeat is sent. */
    log_term term;
    /** The allocator roles for which the VM has a valid lease when the heartbeat is sent. */
    std::vector<allocator_role> held;
    std::vector<shift_usage> shiftUsage;
    /** Whether the VM measures its upstreams. If so, a failure domain without a measurement had no traffic from this
     * VM. */
    bool measured = false;
    /** The accounts that are in demand at this entry, or whose quota it holds a lease of. */
    std::vector<account_demand> accountDemand;

    /** The number of fields before `accountDemand` was added. */
    static constexpr std::uint32_t requiredFields = 12;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.vm, self.start, self.sequence, self.applied, self.inForce, self.draining, self.requestsInFlight,
            self.measurements, self.term, self.held, self.shiftUsage, self.measured, self.accountDemand);
    }
};

/** The load of one service in one failure domain, aggregated over the measurements of all VMs. */
struct service_load {
    service_id service;
    failure_domain_id failureDomain;
    /** Requests a second. */
    double perSecond = 0;
    /** The median latency. */
    duration latency {};

    friend bool operator==(const service_load&, const service_load&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.service, self.failureDomain, self.perSecond, self.latency);
    }
};

/** The leader's answer to a heartbeat. Leases are valid from the time when the VM sent the heartbeat. */
struct heartbeat_answer {
    std::uint64_t sequence = 0;
    log_term term;
    /** The duration of the lease of the allocator roles in `leased`; zero for no lease. */
    duration allocatorLease {};
    std::vector<allocator_role> leased;
    /** VMs to which callers should not be sent, since the leader considers them dead or stopping. */
    std::vector<vm_id> avoided;
    /** The duration of the lease of the quotas. */
    duration quotaLease {};
    std::vector<shift_quota> quotas;
    /** The incarnation of the VM that sent the heartbeat. */
    incarnation start;
    /** Whether the leader has complete recent measurements. If so, a failure domain that is not in `loads` has no
     * load. */
    bool loadsKnown = false;
    std::vector<service_load> loads;
    /** The lowest number of the configurations in force on live VMs. */
    change_number lowestInForce;
    /** The duration of the lease of `accountLeases`. */
    duration accountLease {};
    /** One for each account of the heartbeat, and for each whose base share the entry is to lend. */
    std::vector<account_lease> accountLeases;
    /** Accounts whose demand is near or above their quota. */
    std::vector<account_id> limitedAccounts;

    /** The number of fields before `accountLease` was added. */
    static constexpr std::uint32_t requiredFields = 11;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.sequence, self.term, self.allocatorLease, self.leased, self.avoided, self.quotaLease, self.quotas,
            self.start, self.loadsKnown, self.loads, self.lowestInForce, self.accountLease, self.accountLeases,
            self.limitedAccounts);
    }
};

/** Any message of the control plane. */
using control_message = std::variant<forwarded_announcement, vm_heartbeat, heartbeat_answer>;

} // namespace plantainlatch
