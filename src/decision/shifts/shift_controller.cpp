#include "decision/shifts/shift_controller.h"

#include <algorithm>

#include "decision/control/apply_directory.h"
#include "decision/control/apply_drain.h"
#include "decision/shifts/split_cap.h"

namespace plantainlatch {

namespace {

    /** A VM that was not heard of for this long wants nothing of a cap. */
    constexpr duration wishMemory = std::chrono::seconds(3);

    /** How much the latest heartbeat counts in what a VM wants. */
    constexpr double wishWeight = 0.3;

    std::uint64_t slotsAt(const control_snapshot& state, const service_id& service, const failure_domain_id& domain)
    {
        std::uint64_t slots = 0;
        for (const auto& [id, record] : state.directory) {
            const upstream_announcement& upstream = record.announcement;
            if (upstream.service == service && upstream.failureDomain == domain && !isUpstreamDraining(state, upstream))
                slots += effectiveSlots(state.config, upstream).value();
        }
        return slots;
    }

} // namespace

shift_controller::shift_controller(
    shift_cap_options cap, shift_gate_options gate, duration measurementSpan, time_point termBegan)
    : m_cap(cap)
    , m_gate(gate)
    , m_termBegan(termBegan)
    , m_measurementSpan(measurementSpan)
    , m_measurements(measurementSpan)
{
}

shift_controller::driven_shift& shift_controller::drivenShift(
    const control_snapshot& state, const shift_id& shift, time_point now)
{
    const std::uint64_t step = state.shifts.at(shift).step;
    const auto [found, isNew] = m_shifts.try_emplace(
        shift, driven_shift { shift_quota_allocator(m_cap, m_termBegan), shift_gate(m_gate), step, now, {}, {} });
    driven_shift& driven = found->second;
    if (driven.step != step) {
        driven.step = step;
        driven.stepSeenAt = now;
    }
    return driven;
}

void shift_controller::answer(
    const control_snapshot& state, const vm_heartbeat& heartbeat, heartbeat_answer& answer, time_point now)
{
    m_measurements.add(heartbeat, now);
    answer.quotaLease = m_cap.lease;
    for (const shift_usage& usage : heartbeat.shiftUsage) {
        const auto definition = state.config.shifts.find(usage.shift);
        if (definition == state.config.shifts.end() || !state.shifts.contains(usage.shift))
            continue;
        driven_shift& driven = drivenShift(state, usage.shift, now);
        answer.quotas.push_back({ usage.shift, allowance(driven, definition->second, heartbeat, usage, now) });
    }
}

std::uint32_t shift_controller::allowance(driven_shift& driven, const shift_definition& definition,
    const vm_heartbeat& heartbeat, const shift_usage& usage, time_point now)
{
    const shift_quota_allocator::holder self { heartbeat.vm, heartbeat.start };
    double& wish = driven.requested[self];
    wish = (1 - wishWeight) * wish + wishWeight * static_cast<double>(usage.requested);
    driven.heardAt[self] = now;
    std::erase_if(driven.heardAt, [&](const auto& entry) { return now - entry.second > wishMemory; });
    std::erase_if(driven.requested, [&](const auto& entry) { return !driven.heardAt.contains(entry.first); });
    std::map<vm_id, double> wishes;
    for (const auto& [holder, requested] : driven.requested)
        wishes[holder.first] = requested;
    const std::uint32_t share = splitCap(definition.capPerSecond, wishes)[heartbeat.vm];
    return driven.ledger.grant(self, share, usage.held, definition.capPerSecond, now);
}

double shift_controller::wantedPerSecond(const shift_id& shift) const
{
    const auto found = m_shifts.find(shift);
    double sum = 0;
    if (found == m_shifts.end())
        return sum;
    for (const auto& [holder, requested] : found->second.requested)
        sum += requested;
    return sum;
}

duration shift_controller::baselineOf(
    const shift_definition& definition, const shift_record& record, time_point now) const
{
    if (record.baseline > duration::zero())
        return record.baseline;
    for (const failure_domain_id& domain : { definition.to, definition.from }) {
        const std::optional<domain_statistics> statistics = m_measurements.statistics(definition.service, domain, now);
        if (statistics.has_value())
            return statistics->medianLatency;
    }
    return {};
}

shift_advice shift_controller::advise(const control_snapshot& state, driven_shift& driven,
    const shift_definition& definition, const shift_record& record, duration baseline, time_point now) const
{
    const auto target = m_measurements.statistics(definition.service, definition.to, now);
    const auto source = m_measurements.statistics(definition.service, definition.from, now);
    // Before the first step the target may have no traffic to measure; the source stands in for it.
    const bool unmeasuredStart = record.percent == 0 && !target.has_value();
    const shift_advice advice = driven.gate.judge(unmeasuredStart ? source : target, baseline, now);
    const std::uint64_t slots = slotsAt(state, definition.service, definition.to);
    if (advice == shift_advice::Advance && !hasCapacityForStep(definition, record, target, source, slots))
        return shift_advice::Hold;
    return advice;
}

std::vector<step_shift> shift_controller::decide(const control_snapshot& state, time_point now)
{
    std::erase_if(m_shifts, [&](const auto& entry) { return !state.shifts.contains(entry.first); });
    std::vector<step_shift> steps;
    for (const auto& [id, definition] : state.config.shifts) {
        const auto record = state.shifts.find(id);
        if (record == state.shifts.end())
            continue;
        driven_shift& driven = drivenShift(state, id, now);
        const duration baseline = baselineOf(definition, record->second, now);
        const shift_advice advice = advise(state, driven, definition, record->second, baseline, now);
        const bool intervalPassed = now - driven.stepSeenAt >= std::max(definition.stepInterval, m_measurementSpan);
        std::optional<step_shift> step = decideStep(definition, record->second, advice, intervalPassed);
        if (!step.has_value())
            continue;
        step->baseline = baseline;
        steps.push_back(*step);
    }
    return steps;
}

} // namespace plantainlatch
