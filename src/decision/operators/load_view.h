#pragma once

/** \file
 * The measured load of the whole system: collected by the leader, and told to every VM with its answers.
 */

#include <vector>

#include "decision/shifts/measurement_window.h"
#include "model/configuration.h"

namespace plantainlatch {

/** At the leader it collects measurements; on every VM it holds what the leader last told. What is told grows with
 * services times failure domains; at 2,800 nodes it goes down the tree of regions once for all VMs of one. */
class load_view {
public:
    load_view();

    /** This VM became leader; it knows the loads once it has measured for a while. */
    void beginTerm(time_point now);

    /** The leader: takes in a heartbeat and adds the loads of all places to its answer. */
    void answer(const configuration& config, const vm_heartbeat& heartbeat, heartbeat_answer& answer, time_point now);

    /** Any VM: keeps what the leader told. */
    void receive(const heartbeat_answer& answer, time_point now);

    /** Whether the leader told fresh loads lately. */
    bool known(time_point now) const;
    const std::vector<service_load>& loads() const { return m_loads; }
    change_number lowestInForce() const { return m_lowestInForce; }

private:
    measurement_window m_measurements;
    /** Until then some VM's measurements are missing. */
    time_point m_incompleteUntil {};
    bool m_known = false;
    time_point m_toldAt {};
    std::vector<service_load> m_loads;
    change_number m_lowestInForce;
};

} // namespace plantainlatch
