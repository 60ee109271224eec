#pragma once

/** \file
 * What this VM holds of one region's slots: the holder's side of slot_allocator.
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

/** Slots of one upstream that this VM holds. */
struct slot_holding {
    upstream_generation generation;
    /** How many this VM may use. */
    std::uint32_t count = 0;
    /** How many it uses; above count only while a lowered count waits for work to end. */
    std::uint32_t inUse = 0;
    /** How many the allocator wants back. */
    std::uint32_t recalled = 0;
    /** When the last use ended. */
    time_point usedAt;
    /** Answers to report as warm. */
    std::uint32_t warmAnswers = 0;

    std::uint32_t idle() const
    {
        const std::uint32_t taken = inUse + recalled;
        return count > taken ? count - taken : 0;
    }
};

/** The holder's ledger for one region. */
class slot_holdings {
public:
    slot_holdings(region_id region, incarnation start, time_point startedAt);

    /** Follows the allocator that the log names; its predecessor's grants no longer count, what is held stays until its
     * lease. */
    void setAllocator(const allocator_record& record);
    /** None before the log names an allocator. */
    const std::optional<allocator_record>& allocator() const { return m_allocator; }
    const region_id& region() const { return m_region; }

    /** No work may begin on the held slots from this moment on. */
    time_point leaseUntil() const { return m_leaseUntil; }
    bool leased(time_point now) const { return now < m_leaseUntil; }

    /** Whether a report waits for its grant. */
    bool awaiting() const { return m_awaiting; }
    time_point reportedAt() const { return m_reportedAt; }
    bool holdsAny() const { return !m_holdings.empty(); }

    /** The report to send now; it gives back recalled idle slots, and with `idleBefore` those not used since that
     * moment. */
    slot_report makeReport(time_point now, std::optional<time_point> idleBefore);
    /** Takes a grant; false when it answers no report of this start, epoch and number, or is older than one already
     * taken. */
    bool takeGrant(const slot_grant& grant);

    const std::map<upstream_id, slot_holding>& holdings() const { return m_holdings; }
    /** The idle slots of an upstream of that generation under the lease. */
    std::uint32_t idle(const upstream_id& id, upstream_generation generation, time_point now) const;
    void take(const upstream_id& id);
    /** Ends the use of a slot. */
    void free(const upstream_id& id, upstream_generation generation, time_point now);
    void countWarmAnswer(const upstream_id& id, upstream_generation generation);

    state_dump dump(time_point now) const;

private:
    /** After the lease only what is in use is still held. */
    void dropIdleAfterLease(time_point now);
    void giveBack(slot_holding& item, std::optional<time_point> idleBefore);

    region_id m_region;
    incarnation m_start;
    time_point m_startedAt;
    std::optional<allocator_record> m_allocator;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_revision = 0;
    bool m_awaiting = false;
    time_point m_reportedAt;
    time_point m_leaseUntil;
    std::map<upstream_id, slot_holding> m_holdings;
    /** Slots of earlier generations of an upstream that are still in use. */
    std::map<upstream_id, std::map<upstream_generation, std::uint32_t>> m_former;
};

} // namespace plantainlatch
