#pragma once

/** \file
 * The service that gives this VM's requests the right to use upstreams.
 *
 * Three ways to share slots were weighed (docs/DESIGN.md): slots lent to entries by a regional allocator and moved with
 * demand, which is built here; one owning entry for each upstream; and each entry's own guess, kept as
 * slot_mode::LocalGuess for comparison.
 */

#include <functional>
#include <map>
#include <memory>
#include <set>

#include "absl/status/statusor.h"
#include "decision/peers/peer_router.h"
#include "decision/slots/allocator_host.h"
#include "decision/slots/link_budget.h"
#include "decision/slots/measurement_recorder.h"
#include "decision/slots/slot_holdings.h"
#include "decision/slots/slot_picker.h"
#include "decision/slots/slot_queue.h"
#include "decision/slots/slot_reporting.h"
#include "decision/slots/upstream_quality.h"
#include "decision/slots/upstream_table.h"
#include "kernel/hooks.h"
#include "kernel/service.h"
#include "model/vm_settings.h"
#include "ports/control_port.h"
#include "ports/measurement_port.h"
#include "ports/membership_port.h"
#include "ports/shift_port.h"
#include "ports/slot_port.h"

namespace plantainlatch {

/** How entries share slots. */
enum class slot_mode {
    /** Slots are lent by the region's allocator. */
    Leased,
    /** Each entry counts only its own work against the whole capacity; a baseline. */
    LocalGuess,
};

/** What may be varied in slot_service. */
struct slot_options {
    slot_mode mode = slot_mode::Leased;
    allocator_host_options host;
    upstream_quality_options quality;
    slot_reporting_options reporting;
    /** A request that waited this long, and this many times the usual latency of its service, may be sent to another
     * region: a slot that moves between regions is idle for a round trip. */
    duration leaveRegionAfter = std::chrono::milliseconds(25);
    int leaveRegionLatencies = 2;
    /** While requests wait beyond that, another region is asked this often. */
    duration askRegionInterval = std::chrono::milliseconds(100);
    /** The most requests of one service that wait. */
    std::uint32_t largestQueue = 1024;
    /** A stop waits at most this long for work that was given up to end at its upstream. */
    duration stopPatience = std::chrono::seconds(3);
    /** Refuses at once what would wait beyond its deadline; only tests turn it off. */
    bool refusesEarly = true;
    /** Keeps to the budgets of the links between regions; only tests turn it off. */
    bool keepsLinkBudgets = true;
};

/** Holds slots, hands them to requests, and runs the allocators of this VM; published as "slots", with "measurements"
 * of the upstreams. */
class slot_service {
public:
    static absl::StatusOr<std::unique_ptr<slot_service>> create(
        const kernel_hooks& hooks, const vm_settings& settings, slot_options options = {});

    /** The kernel service. */
    service asService();

private:
    struct use {
        upstream_announcement upstream;
        /** The use has ended, but its work may still run at the upstream, so the slot is not free yet. */
        bool settling = false;
    };

    struct counters {
        std::uint64_t given = 0;
        std::uint64_t waited = 0;
        std::uint64_t refused = 0;
        std::uint64_t leftRegion = 0;
    };

    slot_service(const kernel_hooks& hooks, const vm_settings& settings, slot_options options);

    absl::Status start(registry& services);
    void stop(std::function<void()> stopped);
    state_dump dump() const;

    void follow();
    void followLocalGuess();

    slot_ticket acquire(slot_request request, std::function<void(slot_answer)> answer);
    void cancelWait(slot_ticket ticket);
    void release(slot_handle handle, const slot_result& result);
    void freeSlot(slot_handle handle);
    void finishStop();

    bool anyUsable(const service_id& service, bool homeOnly) const;
    bool isHopeless(const slot_request& request, time_point now) const;
    std::optional<held_slot> tryTake(const slot_waiter& waiter, time_point now);
    held_slot take(const usable_upstream& upstream);
    void serveWaiting();
    bool serveFront(const service_id& service, time_point now);
    failure_domain_id sourceOf(const shift_id& shift) const;
    void refuse(const slot_waiter& waiter, slot_refusal why);
    void armExpiry();
    /** How long a request of a service waits for a slot of its own region. */
    duration patienceInRegion(const service_id& service) const;
    void armLeaveRegion(const service_id& service);
    void lookBeyondRegion(const service_id& service);

    void received(const vm_id& from, const slot_message& message);
    void granted(const slot_grant& grant);
    slot_picker_view view();

    kernel_hooks m_hooks;
    vm_settings m_settings;
    slot_options m_options;
    slot_port m_port;
    control_port* m_control = nullptr;
    membership_port* m_membership = nullptr;
    shift_port* m_shifts = nullptr;
    peer_router* m_router = nullptr;

    upstream_table m_table;
    upstream_quality m_quality;
    measurement_recorder m_measurements;
    measurement_port m_measurementPort;
    link_budget m_links;
    allocator_host m_host;
    slot_queue m_queue;
    slot_reporting m_reporting;
    std::map<slot_handle, use> m_uses;
    std::map<service_id, timer_id> m_leaveTimers;
    std::map<service_id, std::size_t> m_leaveRotation;
    timer_id m_expiryTimer;
    std::optional<time_point> m_expiryAt;
    std::uint64_t m_lastHandle = 0;
    std::uint64_t m_lastTicket = 0;
    counters m_counters;
    bool m_stopped = false;
    /** Called once the last slot is free; set while a stop waits for that. */
    std::function<void()> m_onIdle;
    timer_id m_idleTimer;
};

} // namespace plantainlatch
