#pragma once

/** \file
 * Messages between VMs about announcements, measurements and what operators see.
 */

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "model/upstream.h"

namespace plantainlatch {

/** An announcement passed on to the allocator of the upstream's region, which keeps the renewals. */
struct forwarded_announcement {
    upstream_announcement announcement;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.announcement);
    }
};

/** What one VM saw of one service in one failure domain over the last interval. */
struct service_measurement {
    service_id service;
    failure_domain_id failureDomain;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    duration medianLatency {};
    duration p95Latency {};

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.service, self.failureDomain, self.answered, self.failed, self.refused, self.medianLatency,
            self.p95Latency);
    }
};

/** A region's allocator role under one epoch. */
struct allocator_role {
    region_id region;
    allocator_epoch epoch;

    friend auto operator<=>(const allocator_role&, const allocator_role&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.region, self.epoch);
    }
};

/** How many requests a VM may send to the target of a shift because of it, in any one window. */
struct shift_quota {
    shift_id shift;
    std::uint32_t perWindow = 0;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.shift, self.perWindow);
    }
};

/** What one VM spent of a shift's cap, and would have spent without it, since the last heartbeat. */
struct shift_usage {
    shift_id shift;
    std::uint64_t admitted = 0;
    std::uint64_t requested = 0;
    /** The allowance that holds when the heartbeat is sent. */
    std::uint32_t held = 0;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.shift, self.admitted, self.requested, self.held);
    }
};

/** A VM's heartbeat to the leader, with what it measured and what it has in force. */
struct vm_heartbeat {
    vm_id vm;
    incarnation start;
    std::uint64_t sequence = 0;
    log_index applied;
    change_number inForce;
    bool draining = false;
    std::uint64_t requestsInFlight = 0;
    std::vector<service_measurement> measurements;
    /** The term of the leader that the VM sends to. */
    log_term term;
    /** The allocator roles whose lease the VM holds when it sends. */
    std::vector<allocator_role> held;
    std::vector<shift_usage> shiftUsage;
    /** The VM measures its upstreams, so that a place without a measurement had no traffic from it. */
    bool measured = false;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.vm, self.start, self.sequence, self.applied, self.inForce, self.draining, self.requestsInFlight,
            self.measurements, self.term, self.held, self.shiftUsage, self.measured);
    }
};

/** How much work of one service runs in one failure domain, as the VMs measured it together. */
struct service_load {
    service_id service;
    failure_domain_id failureDomain;
    /** Requests a second. */
    double perSecond = 0;
    duration latency {};

    friend bool operator==(const service_load&, const service_load&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.service, self.failureDomain, self.perSecond, self.latency);
    }
};

/** The leader's answer: the allocator leases that the VM may rely on, and its shift budgets, from when it sent the
 * heartbeat. */
struct heartbeat_answer {
    std::uint64_t sequence = 0;
    log_term term;
    /** How long the VM may act in the allocator roles listed; zero for not at all. */
    duration allocatorLease {};
    std::vector<allocator_role> leased;
    /** VMs that callers should not be sent to: dead or stopping as far as the leader knows. */
    std::vector<vm_id> avoided;
    /** How long the allowances hold. */
    duration quotaLease {};
    std::vector<shift_quota> quotas;
    /** The start of the VM that is answered. */
    incarnation start;
    /** The leader has fresh measurements, so that a place without a load has none. */
    bool loadsKnown = false;
    std::vector<service_load> loads;
    /** The lowest configuration in force on any VM that the leader hears from. */
    change_number lowestInForce;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.sequence, self.term, self.allocatorLease, self.leased, self.avoided, self.quotaLease, self.quotas,
            self.start, self.loadsKnown, self.loads, self.lowestInForce);
    }
};

/** Any message about control. */
using control_message = std::variant<forwarded_announcement, vm_heartbeat, heartbeat_answer>;

} // namespace plantainlatch
