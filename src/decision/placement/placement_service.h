#pragma once

/** \file
 * The service that chooses an upstream for each request from this entry's own counts and the upstreams' load reports.
 *
 * It is the other implementation of slot_port beside the leased slots, for upstreams that refuse work beyond their
 * slots with proof. Nothing waits here: a request goes to the upstream that is expected to finish it first, or is
 * refused at once.
 */

#include <map>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/status/statusor.h"
#include "decision/placement/cold_gate.h"
#include "decision/placement/home_order.h"
#include "decision/placement/latency_model.h"
#include "decision/placement/upstream_standing.h"
#include "kernel/hooks.h"
#include "kernel/service.h"
#include "model/vm_settings.h"
#include "ports/control_port.h"
#include "ports/slot_port.h"
#include "ports/upstream_port.h"

namespace plantainlatch {

/** What may be varied in placement_service. */
struct placement_options {
    cold_rate_limit cold;
    /** How many of an object's upstreams are compared. */
    std::size_t compared = 4;
    /** How many times longer an upstream that doesn't know the object counts: its work there also displaces what the
     * upstream knows and takes capacity from others. */
    double unknownFactor = 2;
    /** Requests of this priority and below are refused when they would take so many objectives: a late answer is worth
     * little, and its work makes more urgent ones late. */
    std::uint32_t leastUrgent = 2;
    double patience = 2;
    /** What a request to another region is expected to take longer. */
    duration farPenalty = std::chrono::milliseconds(60);
};

/** Chooses upstreams; published as "slots". */
class placement_service {
public:
    static absl::StatusOr<std::unique_ptr<placement_service>> create(
        const kernel_hooks& hooks, const vm_settings& settings, placement_options options = {});

    /** The kernel service; it needs "control" and "upstreams". */
    service asService();

private:
    /** A request that was placed. */
    struct held_place {
        upstream_id upstream;
        route_id route;
        std::uint64_t object = 0;
        object_state state = object_state::Unknown;
        duration expected {};
        bool queued = false;
    };
    /** An upstream for a request, and what is expected of it. */
    struct choice {
        const upstream_announcement* upstream = nullptr;
        object_state state = object_state::Unknown;
        duration work {};
        duration total {};
        /** What the choice goes by. */
        duration cost {};
        bool queued = false;
        std::uint32_t load = 0;
    };
    /** Upstreams that were left out of a comparison, by reason. */
    struct left_out {
        std::uint32_t shunned = 0;
        std::uint32_t avoided = 0;
        std::uint32_t cold = 0;
    };
    /** The homes of a service, and when one of its upstreams stands out. */
    struct ranked_service {
        home_order homes;
        /** Upstreams that fail more than this part of their requests are avoided. */
        double toleratedFailures = 0;
        time_point judgedAt {};
    };
    /** What an order of homes depends on beside the state. */
    struct order_key {
        service_id service;
        std::vector<region_id> allowed;
        friend auto operator<=>(const order_key&, const order_key&) = default;
    };

    placement_service(const kernel_hooks& hooks, const vm_settings& settings, placement_options options);

    absl::Status start(registry& services);
    void follow();
    void noteJoin(const upstream_announcement& upstream);
    void noteEndedDrains();
    slot_ticket acquire(const slot_request& request, const std::function<void(slot_answer)>& done);
    void release(slot_handle handle, const slot_result& result);
    ranked_service& orderFor(const order_key& key);
    double toleratedFailures(ranked_service& service);
    std::map<region_id, double> demand(const order_key& key) const;
    choice choose(const slot_request& request, std::uint64_t object, bool evenAvoided, left_out& without);
    choice weigh(const slot_request& request, const upstream_announcement& upstream, std::uint64_t object, bool isHome);
    bool mayPassCold(const upstream_announcement& upstream, upstream_standing& standing);
    std::vector<log_field> inputsOf(const slot_request& request, const choice& chosen, const left_out& without);
    duration patienceOf(const slot_request& request) const;
    state_dump dump() const;

    kernel_hooks m_hooks;
    vm_id m_self;
    region_id m_region;
    placement_options m_options;
    slot_port m_port;
    control_port* m_control = nullptr;
    upstream_port* m_upstreams = nullptr;
    std::map<upstream_id, directory_record> m_known;
    std::set<drain_target> m_drains;
    std::vector<vm_id> m_entries;
    std::map<order_key, ranked_service> m_orders;
    std::map<upstream_id, upstream_standing> m_standings;
    latency_model m_latencies;
    absl::flat_hash_map<slot_handle, held_place> m_held;
    std::uint64_t m_lastHandle = 0;
    std::uint64_t m_placed = 0;
    std::uint64_t m_refused = 0;
};

} // namespace plantainlatch
