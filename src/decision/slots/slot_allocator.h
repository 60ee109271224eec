#pragma once

/** \file
 * The allocator of one region: it lends the slots of the region's upstreams to VMs, each slot to one VM at a time.
 *
 * For each holder the allocator keeps the most that the holder may hold. A report replaces that by what the holder says
 * it holds, since a holder ignores every grant that answers an earlier report than its last one. A holder that stays
 * silent keeps its slots until its lease, the clocks' drift, and the longest deadline of work begun under the lease
 * have passed. A new allocator does not know what earlier ones lent: it lends a slot only once a report gave it back,
 * or once every VM has reported, or once everything lent earlier must have ended.
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

/** How a slot_allocator lends. */
struct slot_allocator_options {
    /** How long a holder may begin work after it sent a report. */
    duration lease = std::chrono::seconds(2);
    /** How far two VMs' clocks may run apart over a lease and a deadline. */
    duration drift = std::chrono::milliseconds(200);
    /** How long an upstream may need to notice the end of work whose deadline passed. */
    duration settle = std::chrono::milliseconds(500);
    /** How many slots of a new upstream are lent before it answered anything. */
    std::uint32_t coldSlots = 1;
    /** How many warm answers let one more slot of a new upstream be lent. */
    std::uint32_t warmAnswersPerSlot = 2;
    /** Waits for what earlier allocators lent; only tests turn it off. */
    bool waitForEarlierLoans = true;
    /** Keeps a silent holder's slots until its work must have ended; only tests turn it off. */
    bool waitForSilentHolders = true;
};

/** A grant for one holder. */
struct addressed_grant {
    vm_id to;
    slot_grant grant;
};

/** Who reports. */
struct slot_reporter {
    vm_id vm;
    /** The VM is in the allocator's region and so gets an equal share of idle slots. */
    bool isHome = false;
    /** The log says that no work of earlier starts of the VM can still run. */
    bool earlierWorkEnded = false;
};

/** Lends the slots of one region under one epoch. */
class slot_allocator {
public:
    /** `members` are all VMs that earlier allocators may have lent to; none when there was no earlier allocator. */
    slot_allocator(region_id region, allocator_epoch epoch, std::set<vm_id> members, time_point now,
        slot_allocator_options options);

    /** Takes over the upstreams and limits in force. */
    void setUpstreams(const upstream_table& table, duration longestWork, time_point now);

    /** Whether an upstream may get new work, by its announcements and health; asked at each grant. */
    void setUsable(std::function<bool(const upstream_id&)> usable) { m_usable = std::move(usable); }

    /**
     * Takes a report and returns the grants to send: one for the reporter, and others for holders that the report gave
     * slots to or that should give slots back. A report of another epoch or an old one gets none.
     */
    std::vector<addressed_grant> report(const slot_reporter& from, const slot_report& report, time_point now);

    /** Takes in that a VM has stopped and left no work: earlier allocators' loans to it have ended. */
    void markStopped(const vm_id& vm);

    /** Forgets silent holders whose work must have ended and lends what came free; call it a few times a second. */
    std::vector<addressed_grant> tick(time_point now);

    /** How many slots of an upstream are lent now, over all holders, with those that may be lent from earlier epochs.
     */
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
        bool isHome = false;
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
        /** Slots that an earlier allocator may have lent and no report has accounted for. */
        std::uint32_t unaccounted = 0;
        std::uint32_t warmAnswers = 0;
    };

    using holder_entry = std::pair<const holder_key, holder>;

    holder& takeReport(const holder_key& key, const slot_reporter& from, const slot_report& report, time_point now);
    void takeHeld(holder& item, bool isFirst, const std::vector<slot_share>& held);
    void takeWarmAnswers(const std::vector<slot_share>& warm);
    void accountAll(time_point now);
    void setHeld(holder& item, const upstream_key& key, std::uint32_t count);

    std::uint32_t lentOfAllGenerations(const upstream_id& id) const;
    std::uint32_t available(const upstream_state& item) const;
    std::uint32_t fairShare(const service_id& service) const;
    std::uint32_t heldOf(const holder& item, const service_id& service) const;
    upstream_state* bestUpstream(const service_id& service, const holder& item, const failure_domain_id& preferred);
    std::uint32_t lend(
        holder& item, const service_id& service, const failure_domain_id& preferred, std::uint32_t count);
    /** Lends what a holder's waiting requests lack. */
    void lendMissing(holder& item);
    /** Lends a holder of the region its equal share of what is left. */
    void lendReserve(holder& item);
    std::vector<holder_key> lendToWaiting(const holder_key* except, time_point now);
    void forgetSilent(time_point now);
    std::vector<addressed_grant> makeGrants(const std::set<holder_key>& holders);
    std::vector<holder_key> recallFor(const holder_key& wanting, const service_id& service, std::uint32_t count);
    std::uint32_t recallFrom(holder& item, const service_id& service, std::uint32_t count);
    addressed_grant makeGrant(const holder_key& key, holder& item);
    void forget(holder& item);
    duration holdTime() const;

    region_id m_region;
    allocator_epoch m_epoch;
    slot_allocator_options m_options;
    std::set<vm_id> m_unaccountedMembers;
    bool m_hasUpstreams = false;
    time_point m_begun;
    time_point m_accountedAt;
    duration m_longestWork {};
    std::function<bool(const upstream_id&)> m_usable;
    std::map<upstream_key, upstream_state> m_upstreams;
    std::map<service_id, std::vector<upstream_key>> m_byService;
    std::map<holder_key, holder> m_holders;
    std::uint64_t m_rotation = 0;
};

} // namespace plantainlatch
