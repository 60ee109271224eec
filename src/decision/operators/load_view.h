#pragma once

/** \file
 * The measured load of the whole system: the leader collects it from heartbeats and sends it to every VM in its
 * answers.
 */

#include <vector>

#include "decision/shifts/measurement_window.h"
#include "model/configuration.h"

namespace plantainlatch {

/** On the leader it collects measurements; on every VM it holds the loads last received from the leader. The size of
 * the loads grows with the number of services times the number of failure domains. For 2,800 VMs, the leader should
 * send them once per region, through the region's aggregator (see membership_service.h). */
class load_view {
public:
    load_view();

    /** Call when this VM becomes leader; the loads become known again after one measurement window. */
    void beginTerm(time_point now);

    /** On the leader: adds the heartbeat's measurements, and adds the loads of all failure domains to its answer. */
    void handleHeartbeat(
        const configuration& config, const vm_heartbeat& heartbeat, heartbeat_answer& answer, time_point now);

    /** On every VM: stores the loads that the leader sent. */
    void receive(const heartbeat_answer& answer, time_point now);

    /** Whether complete loads were received from the leader recently enough. */
    bool known(time_point now) const;
    const std::vector<service_load>& loads() const { return m_loads; }
    change_number lowestInForce() const { return m_lowestInForce; }

private:
    measurement_window m_measurements;
    /** Until this time, measurements of some VM may be missing from the window. */
    time_point m_incompleteUntil {};
    bool m_known = false;
    time_point m_receivedAt {};
    std::vector<service_load> m_loads;
    change_number m_lowestInForce;
};

} // namespace plantainlatch
