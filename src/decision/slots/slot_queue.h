#pragma once

/** \file
 * The queue of requests that wait for a slot, in order of arrival for each service.
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

/** A queued request. */
struct slot_waiter {
    slot_ticket ticket;
    slot_request request;
    time_point queuedAt;
    /** The failure domain whose upstreams are preferred; empty for no preference. */
    failure_domain_id preferred;
    std::function<void(slot_answer)> answer;
};

/** All queued requests of this VM; slot_service limits their number. */
class slot_queue {
public:
    /** In order of arrival. */
    using service_queue = std::list<slot_waiter>;

    void push(slot_waiter waiter);
    /** Removes and returns a waiter; none when it is no longer queued. */
    std::optional<slot_waiter> remove(slot_ticket ticket);
    /** Removes and returns the waiters whose deadline has passed. */
    std::vector<slot_waiter> removeExpired(time_point now);

    std::uint32_t waiting(const service_id& service) const;
    /** The number of waiters that were queued at `moment` or before. */
    std::uint32_t waitingSince(const service_id& service, time_point moment) const;
    /** The waiter that arrived first; null when the queue of the service is empty. */
    const slot_waiter* front(const service_id& service) const;
    /** The services that have waiters. */
    std::vector<service_id> services() const;
    /** The earliest deadline of all waiters. */
    std::optional<time_point> nextDeadline() const;

private:
    struct queue_position {
        service_id service;
        service_queue::iterator position;
    };

    std::map<service_id, service_queue> m_queues;
    std::map<slot_ticket, queue_position> m_positions;
    std::multimap<time_point, slot_ticket> m_deadlines;
};

} // namespace plantainlatch
