#pragma once

/** \file
 * The slots of one region that this VM holds: the holder's side of the protocol of slot_allocator.
 */

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "kernel/state_dump.h"
#include "model/control_snapshot.h"
#include "model/slot_message.h"

namespace plantainlatch {

/** The slots of one upstream. */
struct slot_holding {
    upstream_generation generation;
    /** Granted slots. */
    std::uint32_t count = 0;
    /** Slots in use. Exceeds `count` only when a grant has lowered `count` while requests still run on the slots. */
    std::uint32_t inUse = 0;
    /** Slots to return as soon as they are idle. */
    std::uint32_t recalled = 0;
    /** When a slot was last released. */
    time_point lastUsedAt;
    /** Warm answers since the last report. */
    std::uint32_t warmAnswers = 0;

    std::uint32_t idle() const
    {
        const std::uint32_t taken = inUse + recalled;
        return count > taken ? count - taken : 0;
    }
};

class slot_holdings {
public:
    slot_holdings(region_id region, incarnation start, time_point startedAt);

    /** Sets the region's allocator as recorded in the replicated log. Later grants of its predecessor are ignored; held
     * slots stay usable until their lease ends. */
    void setAllocator(const allocator_record& record);
    /** None before the log assigns an allocator. */
    const std::optional<allocator_record>& allocator() const { return m_allocator; }
    const region_id& region() const { return m_region; }

    /** When the lease ends: from then on no request may be dispatched on the held slots. */
    time_point leaseUntil() const { return m_leaseUntil; }
    bool leased(time_point now) const { return now < m_leaseUntil; }

    /** Whether the last report has not been answered by a grant yet. */
    bool awaitingGrant() const { return m_awaitingGrant; }
    time_point reportedAt() const { return m_reportedAt; }
    bool holdsAny() const { return !m_holdings.empty(); }

    /** Makes the next report. It returns recalled slots that are idle and, if `idleBefore` is set, also the idle slots
     * of upstreams that have not been used since that time. */
    slot_report makeReport(time_point now, std::optional<time_point> idleBefore);
    /** Applies a grant; false when it does not answer the latest report of this incarnation in this epoch, or a grant
     * with its revision or a later one was applied before. */
    bool applyGrant(const slot_grant& grant);

    const std::map<upstream_id, slot_holding>& holdings() const { return m_holdings; }
    /** The number of idle slots of this generation of an upstream; 0 after the lease has ended. */
    std::uint32_t idle(const upstream_id& id, upstream_generation generation, time_point now) const;
    /** Marks an idle slot as in use. */
    void take(const upstream_id& id);
    /** Marks a slot as idle again. */
    void free(const upstream_id& id, upstream_generation generation, time_point now);
    void countWarmAnswer(const upstream_id& id, upstream_generation generation);

    state_dump dump(time_point now) const;

private:
    /** Drops the idle slots if the lease has ended. */
    void dropIdleAfterLease(time_point now);
    void returnIdleSlots(slot_holding& item, std::optional<time_point> idleBefore);

    region_id m_region;
    incarnation m_start;
    time_point m_startedAt;
    std::optional<allocator_record> m_allocator;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_revision = 0;
    bool m_awaitingGrant = false;
    time_point m_reportedAt;
    time_point m_leaseUntil;
    std::map<upstream_id, slot_holding> m_holdings;
    /** The number of slots that are still in use on earlier generations of each upstream. */
    std::map<upstream_id, std::map<upstream_generation, std::uint32_t>> m_earlierGenerations;
};

} // namespace plantainlatch
