#pragma once

/** \file
 * The holder's talk with the allocators of all regions: when to report, what to ask for, and what was granted.
 */

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "core/clock.h"
#include "decision/slots/slot_holdings.h"
#include "decision/slots/slot_queue.h"
#include "decision/slots/upstream_quality.h"
#include "decision/slots/upstream_table.h"
#include "kernel/hooks.h"

namespace plantainlatch {

/** When a holder reports. */
struct slot_reporting_options {
    /** A report renews the lease this often. */
    duration renewInterval = std::chrono::milliseconds(500);
    /** While requests wait, reports tell their number this often. */
    duration waitingInterval = std::chrono::milliseconds(50);
    /** A report without an answer for this long is sent anew. */
    duration reportTimeout = std::chrono::milliseconds(300);
    /** Slots of other regions that were idle this long are given back. */
    duration remoteIdleTime = std::chrono::seconds(1);
};

/** What the reports are made from; all of it outlives them. */
struct slot_reporting_view {
    const kernel_hooks& hooks;
    const region_id& home;
    const upstream_table& table;
    const upstream_quality& quality;
    const slot_queue& queue;
};

/** Reports to the allocator of each region that concerns this VM: its own, those that it holds or wants slots of, and
 * any new one until it has answered. */
class slot_reporting {
public:
    slot_reporting(slot_reporting_view view, slot_reporting_options options);

    /** Begins to report; without it nothing is ever sent. */
    void start(incarnation start, std::function<void(const vm_id& to, slot_report)> send);
    /** Ends all reports; the last ones give everything idle back at once instead of after the lease. */
    void stop();

    void followAllocators(const std::map<region_id, allocator_record>& allocators);
    /** The holdings of a region, made if missing. */
    slot_holdings& holdingsOf(const region_id& region);
    std::map<region_id, slot_holdings>& holdings() { return m_holdings; }
    const std::map<region_id, slot_holdings>& holdings() const { return m_holdings; }
    /** Other regions that have an allocator. */
    std::vector<region_id> otherRegions() const;

    /** Takes a grant; false when it is of no use. Call planNext() after the granted slots were given to waiting
     * requests. */
    bool takeGrant(const slot_grant& grant);
    void planNext(const slot_grant& grant);

    /** Reports as soon as no report waits for its grant. */
    void wake(const region_id& region);
    /** Reports to the home region if twice as many wait as were reported. */
    void wakeIfDemandGrew(const service_id& service);
    /** Asks another region for slots of a service, instead of any asked before. */
    void want(const region_id& region, const service_id& service, std::uint32_t count);
    void wantNowhere(const service_id& service);
    /** Asks for slots in one failure domain with the next report. */
    void prefer(const region_id& region, const service_id& service, const failure_domain_id& domain);

    std::uint64_t reportsSent() const { return m_reportsSent; }
    std::uint64_t grantsTaken() const { return m_grantsTaken; }

private:
    struct region_state {
        timer_id timer;
        bool pumpSoon = false;
        /** Something changed while a report waited for its grant. */
        bool again = false;
        /** The allocator of this epoch has answered: one without a lease yet drops reports. */
        bool answered = false;
        std::map<service_id, std::uint32_t> reportedWaiting;
        std::map<service_id, std::uint32_t> wanted;
        std::map<service_id, failure_domain_id> preferred;
    };

    bool isHome(const slot_holdings& holdings) const { return holdings.region() == m_view.home; }
    bool concerns(const slot_holdings& holdings, const region_state& state) const;
    bool hasUnmetDemand(const slot_holdings& holdings, const region_state& state) const;
    void schedulePump(const region_id& region, region_state& state, duration delay);
    void pump(const region_id& region);
    void send(slot_holdings& holdings, region_state& state, time_point now);
    std::vector<slot_demand> demandsOf(const slot_holdings& holdings, const region_state& state) const;
    slot_demand demandOf(const service_id& service, const slot_holdings& holdings, const region_state& state) const;

    slot_reporting_view m_view;
    slot_reporting_options m_options;
    incarnation m_start;
    std::function<void(const vm_id& to, slot_report)> m_send;
    std::map<region_id, slot_holdings> m_holdings;
    std::map<region_id, region_state> m_states;
    std::uint64_t m_reportsSent = 0;
    std::uint64_t m_grantsTaken = 0;
};

} // namespace plantainlatch
