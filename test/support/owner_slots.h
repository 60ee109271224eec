#pragma once

/** \file
 * Slots by one owning entry for each upstream, one hop away: a way that was weighed and not taken, for comparison.
 */

#include <deque>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "ports/slot_port.h"
#include "support/simulated_site.h"

namespace plantainlatch {

/** One owning entry for each upstream: others ask it, one hop away, and it queues them. */
class owner_slots {
public:
    explicit owner_slots(paused_runtime& runtime);

    slot_port portOf(std::size_t entry);

private:
    struct waiter {
        std::size_t entry;
        slot_ticket ticket;
        time_point deadline;
    };
    struct owner {
        std::deque<std::size_t> free;
        std::deque<waiter> queue;
        std::uint32_t slots = 0;
    };

    duration way(std::size_t left, std::size_t right) const;

    /** Owners in the entry's region evenly, then one of another region for each refusal. */
    void ask(std::size_t entry, slot_ticket ticket, time_point deadline, std::size_t regionsLeft);

    void arrive(std::size_t asked, const waiter& item, std::size_t regionsLeft);

    void serve(std::size_t number);

    bool give(slot_ticket ticket, const slot_answer& answer);

    void release(std::size_t entry, slot_handle handle, const slot_result& result);

    paused_runtime& m_runtime;
    std::vector<owner> m_owners;
    std::map<slot_ticket, std::function<void(slot_answer)>> m_waiting;
    std::map<slot_handle, std::pair<std::size_t, std::size_t>> m_holds;
    std::uint64_t m_last = 0;
};

} // namespace plantainlatch
