#pragma once

/** \file
 * The leader's part of traffic shifting: splits the rate caps over the VMs and decides the steps of all shifts.
 */

#include <map>
#include <optional>
#include <vector>

#include "decision/shifts/shift_gate.h"
#include "decision/shifts/shift_quota_allocator.h"
#include "decision/shifts/shift_step.h"
#include "model/control_snapshot.h"

namespace plantainlatch {

/** Controls all shifts during one term of one leader. Its state is not replicated: a new leader starts without any, and
 * derives from `termBegan` how long quotas of earlier leaders may still count against the cap. */
class shift_controller {
public:
    shift_controller(shift_cap_options cap, shift_gate_options gate, duration measurementSpan, time_point termBegan);

    /** Records the measurements and demand in a VM's heartbeat, and adds the VM's quotas to the answer. */
    void answer(const control_snapshot& state, const vm_heartbeat& heartbeat, heartbeat_answer& answer, time_point now);

    /** Returns the steps to propose now. */
    std::vector<step_shift> decide(const control_snapshot& state, time_point now);

    const measurement_window& measurements() const { return m_measurements; }

    /** The smoothed demand of all VMs for a shift's cap, in requests per heartbeat interval. */
    double totalDemand(const shift_id& shift) const;

private:
    struct shift_state {
        shift_quota_allocator quotas;
        shift_gate gate;
        std::uint64_t step = 0;
        time_point stepSeenAt {};
        std::map<shift_quota_allocator::holder, double> demands;
        std::map<shift_quota_allocator::holder, time_point> lastHeartbeatAt;
    };

    /** The state of a shift, with the time at which its current step was first seen. */
    shift_state& findOrCreate(const control_snapshot& state, const shift_id& shift, time_point now);
    std::uint32_t grantQuota(shift_state& tracked, const shift_definition& definition, const vm_heartbeat& heartbeat,
        const shift_usage& usage, time_point now);
    shift_advice advise(const control_snapshot& state, shift_state& tracked, const shift_definition& definition,
        const shift_record& record, duration baseline, time_point now) const;
    duration baselineOf(const shift_definition& definition, const shift_record& record, time_point now) const;

    shift_cap_options m_cap;
    shift_gate_options m_gate;
    time_point m_termBegan;
    duration m_measurementSpan;
    measurement_window m_measurements;
    std::map<shift_id, shift_state> m_shifts;
};

} // namespace plantainlatch
