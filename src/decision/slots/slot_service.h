#pragma once

/** \file
 * The service that limits the concurrent requests to each upstream across all entry VMs.
 *
 * Three designs were compared (docs/DESIGN.md): slots leased to the entries by a regional allocator, which moves them
 * with demand, as implemented here; one owning entry for each upstream; and entries that do not coordinate, which is
 * kept as slot_mode::Uncoordinated for comparison.
 */

#include <functional>
#include <map>
#include <memory>
#include <set>

#include "absl/status/statusor.h"
#include "decision/peers/peer_router.h"
#include "decision/slots/allocator_client.h"
#include "decision/slots/allocator_host.h"
#include "decision/slots/link_budget.h"
#include "decision/slots/measurement_recorder.h"
#include "decision/slots/slot_holdings.h"
#include "decision/slots/slot_picker.h"
#include "decision/slots/slot_queue.h"
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

/** How the capacity of the upstreams is shared among the entries. */
enum class slot_mode {
    /** The region's allocator leases slots to the entries. */
    Leased,
    /** Each entry counts only its own requests against the whole capacity; a baseline for benchmarks. */
    Uncoordinated,
};

struct slot_options {
    slot_mode mode = slot_mode::Leased;
    allocator_host_options host;
    upstream_quality_options quality;
    allocator_client_options allocatorClient;
    /** A request spills over to other regions after it has waited for the longer of this time and
     * `spilloverLatencyFactor` times the average latency of its service. The wait avoids needless moves: a slot that
     * moves between regions is idle for a round trip. */
    duration spilloverDelay = std::chrono::milliseconds(25);
    int spilloverLatencyFactor = 2;
    /** While any request has waited long enough to spill over, slots are requested from one other region per interval,
     * round-robin. */
    duration spilloverInterval = std::chrono::milliseconds(100);
    /** Maximum number of waiting requests of one service; further ones are refused. */
    std::uint32_t maximumQueueLength = 1024;
    /** Maximum time that a stop waits for abandoned requests to end at their upstreams. */
    duration stopTimeout = std::chrono::seconds(3);
    /** Refuses a request at once when its expected wait exceeds its deadline; only tests turn it off. */
    bool refusesEarly = true;
    /** Enforces the byte budgets of the links between regions; only tests turn it off. */
    bool enforcesLinkBudgets = true;
};

/** Assigns held slots to requests and runs the allocators of this VM. It publishes the ports "slots" and
 * "measurements". */
class slot_service {
public:
    static absl::StatusOr<std::unique_ptr<slot_service>> create(
        const kernel_hooks& hooks, const vm_settings& settings, slot_options options = {});

    /** The kernel service. */
    service asService();

private:
    struct use {
        upstream_announcement upstream;
        /** The slot was released, but its request may still run at the upstream; the slot becomes free at
         * slot_result::busyUntil. */
        bool settling = false;
    };

    struct counters {
        std::uint64_t given = 0;
        std::uint64_t waited = 0;
        std::uint64_t refused = 0;
        std::uint64_t spilledOver = 0;
    };

    slot_service(const kernel_hooks& hooks, const vm_settings& settings, slot_options options);

    absl::Status start(registry& services);
    void stop(std::function<void()> stopped);
    state_dump dump() const;

    void applyControlState();
    void grantFullCapacity();

    slot_ticket acquire(slot_request request, std::function<void(slot_answer)> answer);
    void cancelWait(slot_ticket ticket);
    void release(slot_handle handle, const slot_result& result);
    void freeSlot(slot_handle handle);
    void finishStop();

    bool anyUsable(const service_id& service, bool localOnly) const;
    bool wouldMissDeadline(const slot_request& request, time_point now) const;
    std::optional<held_slot> tryTake(const slot_waiter& waiter, time_point now);
    held_slot take(const usable_upstream& upstream);
    void serveWaiting();
    bool serveFront(const service_id& service, time_point now);
    failure_domain_id sourceOf(const shift_id& shift) const;
    void refuse(const slot_waiter& waiter, slot_refusal reason);
    void armExpiryTimer();
    /** How long a request waits for a slot of the local region before it spills over; zero when the local region has
     * no usable upstream. */
    duration spilloverWait(const service_id& service) const;
    void armSpilloverTimer(const service_id& service);
    void spillOver(const service_id& service);

    void onMessage(const vm_id& from, const slot_message& message);
    void onGrant(const slot_grant& grant);
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
    allocator_client m_allocatorClient;
    std::map<slot_handle, use> m_slotsInUse;
    std::map<service_id, timer_id> m_spilloverTimers;
    std::map<service_id, std::size_t> m_spilloverRotation;
    timer_id m_expiryTimer;
    std::optional<time_point> m_expiryAt;
    std::uint64_t m_lastHandle = 0;
    std::uint64_t m_lastTicket = 0;
    counters m_counters;
    bool m_stopped = false;
    /** Completes a stop once the last slot is free; empty unless a stop waits for that. */
    std::function<void()> m_onIdle;
    timer_id m_stopTimer;
};

} // namespace plantainlatch
