#pragma once

/** \file
 * Decides the next step of a shift.
 */

#include <optional>

#include "decision/shifts/shift_gate.h"
#include "model/control_snapshot.h"

namespace plantainlatch {

/** A shift whose steps were undone more often than this goes back altogether. */
inline constexpr std::uint32_t maximumSetbacks = 3;

/** The step that follows from the advice, or none. Steps forward wait for the step interval; an undone one does not. */
std::optional<step_shift> decideStep(
    const shift_definition& definition, const shift_record& record, shift_advice advice, bool intervalPassed);

/** Whether the target can bear the next step: the work it would run at once, by rate and latency, stays below its slots
 * with some headroom. `target` is none before the target has traffic. */
bool hasCapacityForStep(const shift_definition& definition, const shift_record& record,
    const std::optional<domain_statistics>& target, const std::optional<domain_statistics>& source,
    std::uint64_t targetSlots);

/** `running`, `held` and so on. */
const char* phaseName(shift_phase phase);

} // namespace plantainlatch
