#include "decision/control/control_service.h"

#include <optional>
#include <utility>

#include "core/internal_assert.h"
#include "decision/control/apply_command.h"
#include "decision/control/proposer_table.h"
#include "ports/port_names.h"

namespace plantainlatch {

namespace {

    template <typename... Commands> bool isAnyOf(const control_command& command)
    {
        return (std::holds_alternative<Commands>(command) || ...);
    }

    bool changesSteering(const control_command& command)
    {
        return !isAnyOf<noop_command, claim_key, settle_key, report_crash, withdraw_crashes, begin_crash_trial,
            discard_crash_trial>(command);
    }

    /** The upstream that joins, and those at its address, which a join may remove. */
    std::vector<upstream_id> concernedBy(const upstream_announcement& joining, const control_snapshot& state)
    {
        std::vector<upstream_id> concerned { joining.id };
        for (const auto& [id, record] : state.directory) {
            if (id != joining.id && record.announcement.address == joining.address)
                concerned.push_back(id);
        }
        return concerned;
    }

    /** What the command may change; `state` is the one before. */
    steering_change changeBy(const control_command& command, const control_snapshot& state)
    {
        if (const auto* joined = std::get_if<upstream_joined>(&command))
            return { steering_scope::Upstreams, concernedBy(joined->announcement, state) };
        if (const auto* left = std::get_if<upstream_left>(&command))
            return { steering_scope::Upstreams, { left->id } };
        if (std::holds_alternative<vm_started>(command) || std::holds_alternative<vm_stopped>(command))
            return { steering_scope::Vms, {} };
        return {};
    }

} // namespace

absl::StatusOr<std::unique_ptr<control_service>> control_service::create(
    const kernel_hooks&, const vm_settings&, control_options options)
{
    return std::unique_ptr<control_service>(new control_service(std::move(options)));
}

control_service::control_service(control_options options)
    : m_options(std::move(options))
{
    m_port.state = [this]() -> const control_snapshot& { return m_state; };
    m_port.onChange = [this](std::function<void()> listener) { m_listeners.push_back(std::move(listener)); };
    m_port.onSteeringChange = [this](std::function<void(const steering_change&)> listener) {
        m_steeringListeners.push_back(std::move(listener));
    };
    m_port.apply = [this](const proposal& item) { return apply(item); };
    m_port.restore = [this](control_snapshot state) { restore(std::move(state)); };
}

service control_service::asService()
{
    service item;
    item.name = port_names::control;
    item.start = [this](registry& services) { return services.publish(port_names::control, m_port); };
    item.dump = [this] { return dump(); };
    return item;
}

command_result control_service::apply(const proposal& item)
{
    if (m_options.deduplicateProposals) {
        if (std::optional<command_result> cached = findCachedResult(m_state, item))
            return *cached;
    }
    const change_number before = m_state.config.number;
    const steering_change change = changeBy(item.command, m_state);
    command_result result = applyCommand(m_state, item, m_options.directory);
    completeAdmission();
    internal_assert(m_state.config.number >= before)
        << "the configuration number decreased from " << before.value() << " to " << m_state.config.number.value();
    cacheResult(m_state.proposers, item.id, result);
    notifyListeners(changesSteering(item.command) ? std::optional(change) : std::nullopt);
    return result;
}

void control_service::restore(control_snapshot state)
{
    internal_assert(state.config.number >= m_state.config.number)
        << "snapshot with configuration " << state.config.number.value() << " is older than configuration "
        << m_state.config.number.value();
    m_state = std::move(state);
    completeAdmission();
    notifyListeners(steering_change {});
}

/** Commands and snapshots that an earlier version stored lack the admission, and an empty list of accounts does not
 * tell whether requests need a credential. */
void control_service::completeAdmission()
{
    configuration& config = m_state.config;
    const bool isMissing = config.admission == caller_admission::Unrecorded && !config.document.empty();
    if (isMissing && m_options.readAdmission)
        config.admission = m_options.readAdmission(config.document);
}

void control_service::notifyListeners(const std::optional<steering_change>& change) const
{
    for (const auto& listener : m_listeners)
        listener();
    if (!change)
        return;
    for (const auto& listener : m_steeringListeners)
        listener(*change);
}

state_dump control_service::dump() const
{
    state_dump shown(port_names::control);
    shown.add("configuration", m_state.config.number.value());
    shown.add("history", static_cast<std::uint64_t>(m_state.history.size()));
    shown.add("regions", static_cast<std::uint64_t>(m_state.config.regions.size()));
    shown.add("services", static_cast<std::uint64_t>(m_state.config.services.size()));
    shown.add("keys", static_cast<std::uint64_t>(m_state.keys.size()));
    shown.add("crashes", static_cast<std::uint64_t>(m_state.crashes.size()));
    shown.add("needs_credential", needsCredential(m_state.config));
    state_dump& drains = shown.addList("drains");
    for (const drain_target& target : m_state.drains)
        drains.add("drain", target.name);
    state_dump& upstreams = shown.addObject("upstreams");
    for (const auto& [id, record] : m_state.directory)
        upstreams.add(id.value(), formatAddress(record.announcement.address));
    state_dump& allocators = shown.addObject("allocators");
    for (const auto& [region, record] : m_state.allocators)
        allocators.add(region.value(), record.vm.value());
    return shown;
}

} // namespace plantainlatch
