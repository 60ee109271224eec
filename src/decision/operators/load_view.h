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
 * those loads grows with services times failure domains; with 2,800 nodes they are sent down the tree of regions, once
 * for all VMs of a region. */
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
    /** Until then the measurements of some VM are missing from the window. */
    time_point m_incompleteUntil {};
    bool m_known = false;
    time_point m_receivedAt {};
    std::vector<service_load> m_loads;
    change_number m_lowestInForce;
};

} // namespace plantainlatch
