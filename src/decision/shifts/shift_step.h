#pragma once

/** \file
 * Decides the next step of a shift from the gate's verdict and the target's capacity.
 */

#include <optional>

#include "decision/shifts/shift_gate.h"
#include "model/control_snapshot.h"

namespace plantainlatch {

/** If a step has to be undone after this many setbacks, the whole shift is reverted. */
inline constexpr std::uint32_t maximumSetbacks = 3;

/** Returns the next step, if any. A step is undone as soon as the gate advises it; any other step is taken only after
 * the step interval has passed. */
std::optional<step_shift> decideStep(
    const shift_definition& definition, const shift_record& record, shift_advice advice, bool intervalPassed);

/** Whether the target has capacity for the next step: the expected concurrency, as rate times latency (Little's law),
 * does not exceed a fixed part of its slots. `target` is none before the target has traffic. */
bool hasCapacityForStep(const shift_definition& definition, const shift_record& record,
    const std::optional<domain_statistics>& target, const std::optional<domain_statistics>& source,
    std::uint64_t targetSlots);

/** The name of the phase in messages and dumps, such as `running`. */
const char* phaseName(shift_phase phase);

} // namespace plantainlatch
