#pragma once

/** \file
 * An alternative to leased slots that the system does not use, for the comparison benchmark: one entry owns all slots
 * of an upstream, and the other entries request them from it over the network.
 */

#include <deque>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "ports/slot_port.h"
#include "support/simulated_deployment.h"

namespace plantainlatch {

/** The owning entry of each upstream queues the requests of all entries for its slots. */
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

    duration delay(std::size_t left, std::size_t right) const;

    /** Requests a slot from a random owner in the entry's region, and after each refusal from one in the next region.
     */
    void requestSlot(std::size_t entry, slot_ticket ticket, time_point deadline, std::size_t regionsLeft);

    void arrive(std::size_t target, const waiter& item, std::size_t regionsLeft);

    void serve(std::size_t number);

    bool deliver(slot_ticket ticket, const slot_answer& answer);

    void release(std::size_t entry, slot_handle handle, const slot_result& result);

    paused_runtime& m_runtime;
    std::vector<owner> m_owners;
    std::map<slot_ticket, std::function<void(slot_answer)>> m_waiting;
    std::map<slot_handle, std::pair<std::size_t, std::size_t>> m_handles;
    std::uint64_t m_last = 0;
};

} // namespace plantainlatch
