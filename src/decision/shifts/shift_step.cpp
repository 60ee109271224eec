#include "decision/shifts/shift_step.h"

#include <algorithm>
#include <chrono>

#include "core/internal_assert.h"

namespace plantainlatch {

namespace {

    /** The part of the target's slots that may be in use after a step. */
    constexpr double maximumUtilization = 0.85;

    constexpr double hundredPercent = 100.0;

    std::uint32_t percentAfter(const shift_definition& definition, const shift_record& record)
    {
        return std::min(record.percent + definition.stepPercent, definition.percent);
    }

    step_shift stepTo(
        const shift_definition& definition, const shift_record& record, std::uint32_t percent, shift_phase phase)
    {
        return { definition.id, record.step, percent, phase, {} };
    }

    step_shift stepBack(const shift_definition& definition, const shift_record& record, bool reverting)
    {
        const std::uint32_t percent = record.percent - std::min(record.percent, definition.stepPercent);
        if (!reverting)
            return stepTo(definition, record, percent, shift_phase::Held);
        return stepTo(definition, record, percent, percent == 0 ? shift_phase::Reverted : shift_phase::Reverting);
    }

} // namespace

std::optional<step_shift> decideStep(
    const shift_definition& definition, const shift_record& record, shift_advice advice, bool intervalPassed)
{
    switch (record.phase) {
    case shift_phase::Done:
    case shift_phase::Reverted:
        return {};
    case shift_phase::Reverting:
        if (!intervalPassed)
            return {};
        return stepBack(definition, record, true);
    case shift_phase::Running:
    case shift_phase::Held:
        break;
    }
    if (advice == shift_advice::Undo && record.percent > 0)
        return stepBack(definition, record, record.setbacks >= maximumSetbacks);
    if (!intervalPassed)
        return {};
    if (advice == shift_advice::Advance) {
        const std::uint32_t percent = percentAfter(definition, record);
        const shift_phase phase = percent == definition.percent ? shift_phase::Done : shift_phase::Running;
        return stepTo(definition, record, percent, phase);
    }
    if (record.phase == shift_phase::Running)
        return stepTo(definition, record, record.percent, shift_phase::Held);
    return {};
}

bool hasCapacityForStep(const shift_definition& definition, const shift_record& record,
    const std::optional<domain_statistics>& target, const std::optional<domain_statistics>& source,
    std::uint64_t targetSlots)
{
    if (targetSlots == 0)
        return false;
    if (!source.has_value())
        return target.has_value();
    const double remaining = (hundredPercent - record.percent) / hundredPercent;
    const double sourceTotal = remaining > 0 ? source->perSecond / remaining : source->perSecond;
    const double added = sourceTotal * (percentAfter(definition, record) - record.percent) / hundredPercent;
    const double rate
        = std::min(added, static_cast<double>(definition.capPerSecond)) + (target.has_value() ? target->perSecond : 0);
    const duration latency = target.has_value() ? target->medianLatency : source->medianLatency;
    const double concurrency = rate * std::chrono::duration<double>(latency).count();
    return concurrency <= maximumUtilization * static_cast<double>(targetSlots);
}

const char* phaseName(shift_phase phase)
{
    switch (phase) {
    case shift_phase::Running:
        return "running";
    case shift_phase::Held:
        return "held";
    case shift_phase::Reverting:
        return "reverting";
    case shift_phase::Reverted:
        return "reverted";
    case shift_phase::Done:
        return "done";
    }
    internal_assert(false) << "shift phase " << static_cast<int>(phase);
    return "unknown";
}

} // namespace plantainlatch
