#pragma once

/** \file
 * Requests that wait for a slot, first come first served within a service, bounded in number.
 */

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "ports/slot_port.h"

namespace plantainlatch {

/** One waiting request. */
struct slot_waiter {
    slot_ticket ticket;
    slot_request request;
    time_point since;
    /** The failure domain that should take it; empty for any. */
    failure_domain_id preferred;
    std::function<void(slot_answer)> answer;
};

/** All waiting requests of this VM. */
class slot_queue {
public:
    /** The queue of one service, in order of arrival. */
    using service_queue = std::list<slot_waiter>;

    void push(slot_waiter waiter);
    /** Takes a waiter out; none when it is not there any more. */
    std::optional<slot_waiter> remove(slot_ticket ticket);
    /** Takes out the waiters whose deadline has come. */
    std::vector<slot_waiter> removeExpired(time_point now);

    std::uint32_t waiting(const service_id& service) const;
    /** How many wait since that moment or longer. */
    std::uint32_t waitingSince(const service_id& service, time_point moment) const;
    /** The first waiter of a service, none when nobody waits. */
    const slot_waiter* front(const service_id& service) const;
    std::vector<service_id> services() const;
    /** The earliest deadline of all. */
    std::optional<time_point> nextDeadline() const;

private:
    struct place {
        service_id service;
        service_queue::iterator position;
    };

    std::map<service_id, service_queue> m_queues;
    std::map<slot_ticket, place> m_places;
    std::multimap<time_point, slot_ticket> m_deadlines;
};

} // namespace plantainlatch
