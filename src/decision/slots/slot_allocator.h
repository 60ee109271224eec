#pragma once

/** \file
 * The slot allocator of a region. It leases the slots of the region's upstreams to VMs, each slot to one VM at a time.
 *
 * The allocator tracks an upper bound of the slots that each holder has. A report lowers the bound to the slots that
 * it lists; this is safe because a holder ignores every grant that does not answer its latest report. The slots of a
 * holder that stops reporting are reclaimed once its lease, the maximum clock drift, the longest request deadline and
 * the settle time have passed, as all requests dispatched under the lease have ended by then. A new allocator does not
 * know the allocations of its predecessors: it counts a slot as allocated until a holder has reported and returned it,
 * every VM has reported, or all earlier allocations must have ended.
 */

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/clock.h"
#include "decision/slots/upstream_table.h"
#include "kernel/state_dump.h"
#include "model/slot_message.h"

namespace plantainlatch {

struct slot_allocator_options {
    /** How long a holder may dispatch requests on its slots, counted from when it sent the report that the grant
     * answers. */
    duration lease = std::chrono::seconds(2);
    /** Maximum clock drift between two VMs over the length of a lease plus a request deadline. */
    duration drift = std::chrono::milliseconds(200);
    /** How long an upstream may need to stop a request after its deadline. */
    duration settleTime = std::chrono::milliseconds(500);
    /** How many slots of a new upstream are allocated before its first warm answer. */
    std::uint32_t coldSlots = 1;
    /** How many warm answers of a new upstream allow the allocation of one more of its slots. */
    std::uint32_t warmAnswersPerSlot = 2;
    /** Waits for the end of earlier allocators' allocations; only tests turn it off. */
    bool waitForEarlierAllocations = true;
    /** Reclaims a silent holder's slots only after its requests must have ended; only tests turn it off. */
    bool waitForSilentHolders = true;
};

struct addressed_grant {
    vm_id to;
    slot_grant grant;
};

/** The VM that sent a report. */
struct reporting_vm {
    vm_id vm;
    /** The VM is in the allocator's region, and so receives an equal share of the idle slots. */
    bool isLocal = false;
    /** According to the replicated log, no requests of earlier incarnations of the VM can still run. */
    bool earlierWorkEnded = false;
};

/** Allocates the slots of one region in one epoch. */
class slot_allocator {
public:
    /** `earlierHolders` are all VMs that may hold slots of earlier allocators; empty for a region's first allocator. */
    slot_allocator(region_id region, allocator_epoch epoch, std::set<vm_id> earlierHolders, time_point now,
        slot_allocator_options options);

    /** Replaces the upstreams and their limits; `maximumWorkTime` is the longest deadline of any service. */
    void setUpstreams(const upstream_table& table, duration maximumWorkTime, time_point now);

    /** Sets the predicate for upstreams that may receive new requests; it is evaluated for each grant. */
    void setUsable(std::function<bool(const upstream_id&)> usable) { m_usable = std::move(usable); }

    /**
     * Processes a report and returns the grants to send: one to the reporting VM, one to each holder that receives
     * slots which the report returned, and one to each holder whose slots are recalled. Reports of another epoch and
     * reports that are not newer than the last one are ignored.
     */
    std::vector<addressed_grant> report(const reporting_vm& from, const slot_report& report, time_point now);

    /** Records that a VM has stopped and left no requests running, so that its earlier allocations have ended. */
    void markStopped(const vm_id& vm);

    /** Reclaims the slots of silent holders and allocates what became free; to be called a few times per second. */
    std::vector<addressed_grant> tick(time_point now);

    /** The allocated slots of an upstream, including those that may be allocated in earlier epochs. */
    std::uint32_t allocated(const upstream_id& id) const;

    state_dump dump(time_point now) const;

private:
    struct holder_key {
        vm_id vm;
        incarnation start;
        friend auto operator<=>(const holder_key&, const holder_key&) = default;
    };

    struct upstream_key {
        upstream_id id;
        upstream_generation generation;
        friend auto operator<=>(const upstream_key&, const upstream_key&) = default;
    };

    struct demand {
        std::uint32_t waiting = 0;
        std::uint32_t idle = 0;
        failure_domain_id preferred;
    };

    struct holder {
        bool isLocal = false;
        std::uint64_t sequence = 0;
        std::uint64_t revision = 0;
        time_point leaseEnd;
        std::map<upstream_key, std::uint32_t> held;
        std::map<service_id, demand> demands;
        std::set<upstream_id> ejected;
        std::map<upstream_key, std::uint32_t> recalled;
    };

    struct upstream_state {
        usable_upstream info;
        std::uint32_t allocated = 0;
        /** Slots that an earlier allocator may have allocated and that no report has listed yet. */
        std::uint32_t unaccounted = 0;
        std::uint32_t warmAnswers = 0;
    };

    using holder_entry = std::pair<const holder_key, holder>;

    holder& applyReport(const holder_key& key, const reporting_vm& from, const slot_report& report, time_point now);
    void applyHeldSlots(holder& item, bool isFirst, const std::vector<per_upstream_count>& held);
    void addWarmAnswers(const std::vector<per_upstream_count>& warm);
    void expireUnaccounted(time_point now);
    void setHeld(holder& item, const upstream_key& key, std::uint32_t count);

    std::uint32_t allocatedInAllGenerations(const upstream_id& id) const;
    std::uint32_t available(const upstream_state& item) const;
    std::uint32_t equalShare(const service_id& service) const;
    std::uint32_t heldOf(const holder& item, const service_id& service) const;
    upstream_state* bestUpstream(const service_id& service, const holder& item, const failure_domain_id& preferred);
    std::uint32_t allocate(
        holder& item, const service_id& service, const failure_domain_id& preferred, std::uint32_t count);
    /** Allocates slots for the waiting requests of a holder that exceed its idle slots. */
    void allocateForDemand(holder& item);
    /** Allocates slots to a holder in the region until it has its equal share. */
    void allocateReserve(holder& item);
    std::vector<holder_key> allocateToWaitingHolders(const holder_key* excluded, time_point now);
    void reclaimFromSilentHolders(time_point now);
    std::vector<addressed_grant> makeGrants(const std::set<holder_key>& holders);
    /**
     * Recalls up to `count` slots from other holders. A holder gives up the idle slots that its own waiting requests do
     * not need or, if that is more and the requester has less than its equal share, its slots above the equal share.
     */
    std::vector<holder_key> recallFor(const holder_key& requester, const service_id& service, std::uint32_t count);
    std::uint32_t recallFrom(holder& item, const service_id& service, std::uint32_t count);
    addressed_grant makeGrant(const holder_key& key, holder& item);
    void reclaim(holder& item);
    /** How long after a holder's report its requests may run: lease, clock drift, longest deadline and settle time. */
    duration maximumUseTime() const;

    region_id m_region;
    allocator_epoch m_epoch;
    slot_allocator_options m_options;
    std::set<vm_id> m_unaccountedVms;
    bool m_hasUpstreams = false;
    time_point m_startedAt;
    time_point m_earlierAllocationsEnd;
    duration m_maximumWorkTime {};
    std::function<bool(const upstream_id&)> m_usable;
    std::map<upstream_key, upstream_state> m_upstreams;
    std::map<service_id, std::vector<upstream_key>> m_byService;
    std::map<holder_key, holder> m_holders;
    std::uint64_t m_rotation = 0;
};

} // namespace plantainlatch
