#include "decision/shifts/shift_controller.h"

#include <algorithm>

#include "decision/control/apply_directory.h"
#include "decision/control/apply_drain.h"
#include "decision/shifts/split_cap.h"

namespace plantainlatch {

namespace {

    /** A VM without a heartbeat for this long counts as having no demand. */
    constexpr duration demandTimeout = std::chrono::seconds(3);

    /** The weight of the latest heartbeat in the moving average of a VM's demand. */
    constexpr double demandSmoothing = 0.3;

    std::uint64_t usableSlots(const control_snapshot& state, const service_id& service, const failure_domain_id& domain)
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

shift_controller::shift_state& shift_controller::findOrCreate(
    const control_snapshot& state, const shift_id& shift, time_point now)
{
    const std::uint64_t step = state.shifts.at(shift).step;
    const auto [found, isNew] = m_shifts.try_emplace(
        shift, shift_state { shift_quota_allocator(m_cap, m_termBegan), shift_gate(m_gate), step, now, {}, {} });
    shift_state& tracked = found->second;
    if (tracked.step != step) {
        tracked.step = step;
        tracked.stepSeenAt = now;
    }
    return tracked;
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
        shift_state& tracked = findOrCreate(state, usage.shift, now);
        answer.quotas.push_back({ usage.shift, grantQuota(tracked, definition->second, heartbeat, usage, now) });
    }
}

std::uint32_t shift_controller::grantQuota(shift_state& tracked, const shift_definition& definition,
    const vm_heartbeat& heartbeat, const shift_usage& usage, time_point now)
{
    const shift_quota_allocator::holder self { heartbeat.vm, heartbeat.start };
    double& demand = tracked.demands[self];
    demand = (1 - demandSmoothing) * demand + demandSmoothing * static_cast<double>(usage.requested);
    tracked.lastHeartbeatAt[self] = now;
    std::erase_if(tracked.lastHeartbeatAt, [&](const auto& entry) { return now - entry.second > demandTimeout; });
    std::erase_if(tracked.demands, [&](const auto& entry) { return !tracked.lastHeartbeatAt.contains(entry.first); });
    std::map<vm_id, double> demandByVm;
    for (const auto& [holder, value] : tracked.demands)
        demandByVm[holder.first] = value;
    const std::uint32_t share = splitCap(definition.capPerSecond, demandByVm)[heartbeat.vm];
    return tracked.quotas.grant(self, share, usage.held, definition.capPerSecond, now);
}

double shift_controller::totalDemand(const shift_id& shift) const
{
    const auto found = m_shifts.find(shift);
    double sum = 0;
    if (found == m_shifts.end())
        return sum;
    for (const auto& [holder, value] : found->second.demands)
        sum += value;
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

shift_advice shift_controller::advise(const control_snapshot& state, shift_state& tracked,
    const shift_definition& definition, const shift_record& record, duration baseline, time_point now) const
{
    const auto target = m_measurements.statistics(definition.service, definition.to, now);
    const auto source = m_measurements.statistics(definition.service, definition.from, now);
    // Before the first step, the target may have no traffic to measure, so the gate uses the source's measurements.
    const bool unmeasuredStart = record.percent == 0 && !target.has_value();
    const shift_advice advice = tracked.gate.evaluate(unmeasuredStart ? source : target, baseline, now);
    const std::uint64_t slots = usableSlots(state, definition.service, definition.to);
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
        shift_state& tracked = findOrCreate(state, id, now);
        const duration baseline = baselineOf(definition, record->second, now);
        const shift_advice advice = advise(state, tracked, definition, record->second, baseline, now);
        const bool intervalPassed = now - tracked.stepSeenAt >= std::max(definition.stepInterval, m_measurementSpan);
        std::optional<step_shift> step = decideStep(definition, record->second, advice, intervalPassed);
        if (!step.has_value())
            continue;
        step->baseline = baseline;
        steps.push_back(*step);
    }
    return steps;
}

} // namespace plantainlatch
