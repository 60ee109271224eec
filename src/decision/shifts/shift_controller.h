#pragma once

/** \file
 * The leader's side of the shifts: it splits their caps over the VMs and decides their steps.
 */

#include <map>
#include <optional>
#include <vector>

#include "decision/shifts/shift_gate.h"
#include "decision/shifts/shift_quota_allocator.h"
#include "decision/shifts/shift_step.h"
#include "model/control_snapshot.h"

namespace plantainlatch {

/** All shifts as one leader drives them; a new leader begins with a new one. */
class shift_controller {
public:
    shift_controller(shift_cap_options cap, shift_gate_options gate, duration measurementSpan, time_point termBegan);

    /** Takes in a VM's heartbeat and answers with its allowances. */
    void answer(const control_snapshot& state, const vm_heartbeat& heartbeat, heartbeat_answer& answer, time_point now);

    /** The steps that are due now. */
    std::vector<step_shift> decide(const control_snapshot& state, time_point now);

    const measurement_window& measurements() const { return m_measurements; }

    /** What a VM wants of a shift's cap, in requests a second, over the last heartbeats. */
    double wantedPerSecond(const shift_id& shift) const;

private:
    struct driven_shift {
        shift_quota_allocator ledger;
        shift_gate gate;
        std::uint64_t step = 0;
        time_point stepSeenAt {};
        std::map<shift_quota_allocator::holder, double> requested;
        std::map<shift_quota_allocator::holder, time_point> heardAt;
    };

    driven_shift& drivenShift(const control_snapshot& state, const shift_id& shift, time_point now);
    std::uint32_t allowance(driven_shift& driven, const shift_definition& definition, const vm_heartbeat& heartbeat,
        const shift_usage& usage, time_point now);
    shift_advice advise(const control_snapshot& state, driven_shift& driven, const shift_definition& definition,
        const shift_record& record, duration baseline, time_point now) const;
    duration baselineOf(const shift_definition& definition, const shift_record& record, time_point now) const;

    shift_cap_options m_cap;
    shift_gate_options m_gate;
    time_point m_termBegan;
    duration m_measurementSpan;
    measurement_window m_measurements;
    std::map<shift_id, driven_shift> m_shifts;
};

} // namespace plantainlatch
