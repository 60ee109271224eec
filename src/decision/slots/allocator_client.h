#pragma once

/** \file
 * The holder's client of the slot allocators: sends this VM's reports to the allocators of all regions and applies
 * their grants.
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

struct allocator_client_options {
    /** Interval of the reports that renew the lease. */
    duration renewInterval = std::chrono::milliseconds(500);
    /** Interval of the reports while requests wait. */
    duration waitingReportInterval = std::chrono::milliseconds(50);
    /** A report that was not answered by a grant within this time is replaced by a new one. */
    duration reportTimeout = std::chrono::milliseconds(300);
    /** Slots of other regions are returned after this time without use. */
    duration remoteIdleTime = std::chrono::seconds(1);
};

/** The state that the reports are made from; it must outlive the allocator_client. */
struct allocator_client_view {
    const kernel_hooks& hooks;
    const region_id& localRegion;
    const upstream_table& table;
    const upstream_quality& quality;
    const slot_queue& queue;
};

/** Reports to the allocator of each relevant region: the local region, regions whose slots this VM holds or needs, and
 * regions whose new allocator has not answered yet. */
class allocator_client {
public:
    allocator_client(allocator_client_view view, allocator_client_options options);

    /** Must be called before any report can be sent; an empty `send` disables the reports. */
    void start(incarnation start, std::function<void(const vm_id& to, slot_report)> send);
    /** Sends a final report for each relevant region, which returns all idle slots before their lease ends, and stops
     * reporting. */
    void stop();

    void setAllocators(const std::map<region_id, allocator_record>& allocators);
    /** The holdings of a region; they are created on the first call. */
    slot_holdings& holdingsOf(const region_id& region);
    std::map<region_id, slot_holdings>& holdings() { return m_holdings; }
    const std::map<region_id, slot_holdings>& holdings() const { return m_holdings; }
    /** The regions other than the local one that have an allocator. */
    std::vector<region_id> otherRegions() const;

    /** Applies a grant, or returns false if the grant is ignored. After an applied grant, the granted slots must be
     * assigned to waiting requests and then scheduleNextReport() must be called. */
    bool applyGrant(const slot_grant& grant);
    void scheduleNextReport(const slot_grant& grant);

    /** Sends a report as soon as the last one is answered by a grant or has timed out. */
    void reportSoon(const region_id& region);
    /** Reports to the local region's allocator if at least twice as many requests wait as the last report stated. */
    void reportIfDemandGrew(const service_id& service);
    /** Requests slots of a service from another region; replaces an earlier request for that region and service. */
    void requestSlots(const region_id& region, const service_id& service, std::uint32_t count);
    /** Cancels the requests for slots of a service from all other regions. */
    void cancelSlotRequests(const service_id& service);
    /** Requests slots in a failure domain with the next report. */
    void requestInDomain(const region_id& region, const service_id& service, const failure_domain_id& domain);

    std::uint64_t reportsSent() const { return m_reportsSent; }
    std::uint64_t grantsApplied() const { return m_grantsApplied; }

private:
    struct region_state {
        timer_id timer;
        bool isReportDue = false;
        /** Another report is due once the last one is answered by a grant. */
        bool reportAgain = false;
        /** Whether the allocator of this epoch has answered; it ignores reports while it has no allocator lease. */
        bool answered = false;
        std::map<service_id, std::uint32_t> reportedWaiting;
        std::map<service_id, std::uint32_t> requestedSlots;
        std::map<service_id, failure_domain_id> preferred;
    };

    bool isLocal(const slot_holdings& holdings) const { return holdings.region() == m_view.localRegion; }
    bool isRelevant(const slot_holdings& holdings, const region_state& state) const;
    bool hasUnmetDemand(const slot_holdings& holdings, const region_state& state) const;
    void scheduleReport(const region_id& region, region_state& state, duration delay);
    void onReportTimer(const region_id& region);
    void send(slot_holdings& holdings, region_state& state, time_point now);
    std::vector<slot_demand> demandsOf(const slot_holdings& holdings, const region_state& state) const;
    slot_demand demandOf(const service_id& service, const slot_holdings& holdings, const region_state& state) const;

    allocator_client_view m_view;
    allocator_client_options m_options;
    incarnation m_start;
    std::function<void(const vm_id& to, slot_report)> m_send;
    std::map<region_id, slot_holdings> m_holdings;
    std::map<region_id, region_state> m_states;
    std::uint64_t m_reportsSent = 0;
    std::uint64_t m_grantsApplied = 0;
};

} // namespace plantainlatch
