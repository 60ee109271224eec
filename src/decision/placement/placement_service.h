#pragma once

/** \file
 * Load balancing without coordination between entries: each request goes to the upstream with the lowest expected cost,
 * estimated from this entry's own requests and the upstreams' load reports.
 *
 * This is an implementation of slot_port without slot leases. It is meant for upstreams that enforce their own
 * concurrency limit and state, when they refuse a request, that they did not run it. Requests are never queued here:
 * each is placed or refused at once.
 */

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/status/statusor.h"
#include "decision/placement/affinity_order.h"
#include "decision/placement/bytes_in_flight.h"
#include "decision/placement/cold_rate_limiter.h"
#include "decision/placement/latency_model.h"
#include "decision/placement/reported_unavailability.h"
#include "decision/placement/upstream_stats.h"
#include "kernel/hooks.h"
#include "kernel/service.h"
#include "model/vm_settings.h"
#include "ports/control_port.h"
#include "ports/slot_port.h"
#include "ports/upstream_port.h"

namespace plantainlatch {

/** Options of placement_service. */
struct placement_options {
    cold_rate_limit cold;
    /** How many upstreams are compared, in the object's affinity order. */
    std::size_t maximumCandidates = 4;
    /** Multiplies the cost of an upstream that doesn't know the object: running the request there also evicts other
     * objects from the upstream's cache and takes capacity from requests that have their home there. */
    double unknownCostFactor = 2;
    /** Requests whose priority number is this or higher (less urgent) are refused when their expected time reaches
     * their target latency times `sheddableTimeFactor`: a late answer is of little use, and its work delays more
     * urgent requests. */
    std::uint32_t sheddablePriority = 2;
    double sheddableTimeFactor = 2;
    /** The extra latency expected of a request to another region. */
    duration crossRegionPenalty = std::chrono::milliseconds(60);
    bytes_in_flight_limits bytesInFlight;
};

/** Chooses upstreams; published as "slots". */
class placement_service {
public:
    static absl::StatusOr<std::unique_ptr<placement_service>> create(
        const kernel_hooks& hooks, const vm_settings& settings, placement_options options = {});

    /** The kernel service; it depends on "control" and "upstreams". */
    service asService();

private:
    /** A placed request that has not been released. */
    struct placed_request {
        upstream_id upstream;
        upstream_generation generation;
        route_id route;
        std::uint64_t object = 0;
        object_state state = object_state::Unknown;
        duration expected {};
        bool queued = false;
        byte_count bodySize;
        std::function<void()> onRevoked;
    };
    /** An upstream that a request may go to, with the estimates for it. */
    struct candidate {
        const upstream_announcement* upstream = nullptr;
        object_state state = object_state::Unknown;
        /** The expected time that the request runs at the upstream. */
        duration runTime {};
        /** The run time, the delay by a slow machine, the wait in the upstream's queue and the extra latency to another
         * region. */
        duration total {};
        /** The total, weighted for objects that the upstream doesn't know; the lowest cost wins. */
        duration cost {};
        /** The answer is expected within the request's time limit. */
        bool inTime = false;
        /** The upstream fails often, and this request probes whether it has recovered. */
        bool isProbe = false;
        /** All slots are in use, so the request would wait in the upstream's queue. */
        bool queued = false;
        std::uint32_t load = 0;
    };
    /** The number of upstreams that were not considered, by reason. */
    struct excluded_counts {
        std::uint32_t ejected = 0;
        std::uint32_t outliers = 0;
        std::uint32_t cold = 0;
        /** They asked for a pause. */
        std::uint32_t paused = 0;
        /** The bodies in flight leave no room for this one. */
        std::uint32_t full = 0;
    };
    /** The affinity orders of a service's objects, and the failure rate from which an upstream is an outlier. */
    struct service_order {
        affinity_order order;
        /** A fraction of the requests; 0 until computed. */
        double outlierThreshold = 0;
        time_point thresholdAt {};
    };
    /** Identifies a service_order. A change of one upstream is applied to the orders that contain it; other changes of
     * the control state discard all of them. */
    struct order_key {
        service_id service;
        std::vector<region_id> allowed;
        friend auto operator<=>(const order_key&, const order_key&) = default;
    };

    placement_service(const kernel_hooks& hooks, const vm_settings& settings, placement_options options);

    absl::Status start(registry& services);
    void onControlChange(const steering_change& change);
    /** Takes over an upstream's record from the control state, or its removal. */
    void copyRecord(const upstream_id& id);
    /** Puts the upstream into the affinity orders to which it belongs, and removes it from the others. */
    void updateOrders(const upstream_id& id);
    /** Whether requests of this key may go to the upstream, apart from its health. */
    bool isEligible(const order_key& key, const upstream_announcement& upstream) const;
    void noteAnnouncement(const upstream_announcement& upstream);
    void markColdAfterDrains();
    slot_ticket acquire(const slot_request& request, const std::function<void(slot_answer)>& done);
    void release(slot_handle handle, const slot_result& result);
    /** Takes over what the upstream stated about requests that it doesn't want. */
    void noteUnavailability(const placed_request& placed, const answer_metadata& metadata);
    void noteDraining(const placed_request& placed);
    void notePause(const placed_request& placed, duration pause);
    /** Revokes the slots of this generation of the upstream, whose requests may still wait for a connection. */
    void revokeSlots(const upstream_id& id, upstream_generation generation);
    duration remainingPause(const upstream_announcement& upstream) const;
    /** The time until the first of the upstreams wants requests again; none unless all of them asked for a pause. */
    std::optional<duration> pauseOfAll(const affinity_order& order) const;
    service_order& orderFor(const order_key& key);
    double outlierThreshold(service_order& service);
    std::map<region_id, double> demand(const order_key& key) const;
    candidate choose(
        const slot_request& request, std::uint64_t object, bool includeOutliers, excluded_counts& excluded);
    candidate evaluate(
        const slot_request& request, const upstream_announcement& upstream, std::uint64_t object, bool isHome);
    /** How many requests this entry may send to a cold upstream within the window of its rate limiter. */
    std::size_t coldLimit(const upstream_announcement& upstream) const;
    /** Whether the upstream can be considered at all; if not, the reason is counted. */
    bool isUsable(
        const slot_request& request, const upstream_announcement& upstream, bool isOutlier, excluded_counts& excluded);
    /** Counts the request in the limits for cold upstreams and for probes. */
    void admit(const candidate& chosen);
    std::vector<log_field> inputsOf(
        const slot_request& request, const candidate& chosen, const excluded_counts& excluded);
    duration timeLimit(const slot_request& request) const;
    state_dump dump() const;

    kernel_hooks m_hooks;
    vm_id m_self;
    region_id m_region;
    placement_options m_options;
    slot_port m_port;
    control_port* m_control = nullptr;
    upstream_port* m_upstreams = nullptr;
    std::map<upstream_id, directory_record> m_directory;
    std::set<drain_target> m_drains;
    std::vector<vm_id> m_entries;
    std::map<order_key, service_order> m_orders;
    absl::flat_hash_map<upstream_id, upstream_stats> m_stats;
    reported_unavailability m_unavailability;
    latency_model m_latencies;
    absl::flat_hash_map<slot_handle, placed_request> m_held;
    bytes_in_flight m_bytesInFlight;
    std::uint64_t m_lastHandle = 0;
    std::uint64_t m_placed = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_ordersComputed = 0;
    std::uint64_t m_reportedDraining = 0;
    std::uint64_t m_pauses = 0;
};

} // namespace plantainlatch
