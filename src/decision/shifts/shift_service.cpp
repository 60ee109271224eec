#include "decision/shifts/shift_service.h"

#include <utility>

#include "ports/port_names.h"

namespace plantainlatch {

namespace {

    constexpr double hundredPercent = 100.0;

} // namespace

absl::StatusOr<std::unique_ptr<shift_service>> shift_service::create(
    const kernel_hooks& hooks, const vm_settings&, shift_options options)
{
    if (options.cap.window < std::chrono::seconds(1))
        return absl::InvalidArgumentError("the window for enforcing a cap per second must be at least one second");
    return std::unique_ptr<shift_service>(new shift_service(hooks, options));
}

shift_service::shift_service(const kernel_hooks& hooks, shift_options options)
    : m_hooks(hooks)
    , m_options(options)
    , m_limiters(options.cap)
{
    m_port.weights = [this](const service_id& name) { return weights(name); };
    m_port.shifts = [this](const service_id& name) { return shifts(name); };
    m_port.tryAcquire = [this](const shift_id& shift) { return m_limiters.tryAcquire(shift, m_hooks.now()); };
}

service shift_service::asService()
{
    service item;
    item.name = port_names::shifts;
    item.dependencies = { port_names::control, port_names::consensus, port_names::membership };
    item.start = [this](registry& services) { return start(services); };
    item.stop = [this](std::function<void()> stopped) {
        m_hooks.cancel(m_timer);
        stopped();
    };
    item.dump = [this] { return dump(); };
    return item;
}

absl::Status shift_service::start(registry& services)
{
    m_control = *services.find<control_port>(port_names::control);
    m_consensus = *services.find<consensus_port>(port_names::consensus);
    m_membership = *services.find<membership_port>(port_names::membership);
    m_control->onChange([this] {
        if (std::exchange(m_configurationNumber, m_control->state().config.number) != m_control->state().config.number)
            m_limiters.update(m_control->state().config.shifts);
    });
    m_membership->onSend(
        [this](vm_heartbeat& heartbeat) { heartbeat.shiftUsage = m_limiters.takeUsage(m_hooks.now()); });
    m_membership->onAnswer(
        [this](const heartbeat_answer& answer, time_point sentAt) { m_limiters.receive(answer, sentAt); });
    m_membership->onHeartbeat([this](const vm_heartbeat& heartbeat, heartbeat_answer& answer) {
        controller().answer(m_control->state(), heartbeat, answer, m_hooks.now());
    });
    m_configurationNumber = m_control->state().config.number;
    m_limiters.update(m_control->state().config.shifts);
    m_timer = m_hooks.schedule(m_options.tickInterval, [this] { tick(); });
    return services.publish(port_names::shifts, m_port);
}

shift_controller& shift_service::controller()
{
    const log_term term = m_consensus->state().term;
    if (!m_controller.has_value() || m_controllerTerm != term) {
        m_controllerTerm = term;
        m_controller.emplace(m_options.cap, m_options.gate, m_options.measurementSpan, m_hooks.now());
        m_pendingSteps.clear();
    }
    return *m_controller;
}

void shift_service::tick()
{
    m_timer = m_hooks.schedule(m_options.tickInterval, [this] { tick(); });
    if (!m_membership->isCaughtUpLeader()) {
        m_controller.reset();
        return;
    }
    for (const step_shift& step : controller().decide(m_control->state(), m_hooks.now()))
        propose(step);
}

void shift_service::propose(const step_shift& step)
{
    if (!m_pendingSteps.insert(step.shift).second)
        return;
    m_hooks.log({ log_level::Info, port_names::shifts, "shift steps",
        { { "shift", step.shift.value() }, { "percent", std::to_string(step.percent) },
            { "phase", phaseName(step.phase) } } });
    m_consensus->propose(step, m_options.proposalTimeout,
        [this, shift = step.shift](const absl::StatusOr<command_result>&) { m_pendingSteps.erase(shift); });
}

std::vector<domain_weight> shift_service::weights(const service_id& service) const
{
    std::vector<domain_weight> found;
    for (const auto& [key, share] : m_control->state().config.shares) {
        if (key.first == service)
            found.push_back({ share.failureDomain, static_cast<double>(share.weight) });
    }
    return found;
}

std::vector<active_shift> shift_service::shifts(const service_id& service) const
{
    std::vector<active_shift> found;
    const control_snapshot& state = m_control->state();
    for (const auto& [id, definition] : state.config.shifts) {
        const auto record = state.shifts.find(id);
        if (definition.service != service || record == state.shifts.end() || record->second.percent == 0)
            continue;
        found.push_back({ id, definition.from, definition.to, record->second.percent / hundredPercent });
    }
    return found;
}

state_dump shift_service::dump() const
{
    state_dump shown(port_names::shifts);
    for (const auto& [id, record] : m_control->state().shifts) {
        state_dump& item = shown.addObject(id.value());
        item.add("percent", static_cast<std::uint64_t>(record.percent));
        item.add("phase", phaseName(record.phase));
        item.add("step", record.step);
        item.add("setbacks", static_cast<std::uint64_t>(record.setbacks));
        item.add("baseline", record.baseline);
    }
    return shown;
}

} // namespace plantainlatch
