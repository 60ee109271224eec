#include "decision/alerts/alert_service.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "decision/alerts/system_risks.h"
#include "ports/port_names.h"

namespace plantainlatch {

namespace {

    /** How long a VM may be without leader contact before it raises an alert. */
    constexpr duration controlDelay = std::chrono::seconds(10);

    void append(std::vector<risk_condition>& risks, std::vector<risk_condition> more)
    {
        for (risk_condition& item : more)
            risks.push_back(std::move(item));
    }

} // namespace

absl::StatusOr<std::unique_ptr<alert_service>> alert_service::create(
    const kernel_hooks& hooks, const vm_settings& settings, alert_options options)
{
    return std::unique_ptr<alert_service>(new alert_service(hooks, settings, options));
}

alert_service::alert_service(const kernel_hooks& hooks, const vm_settings& settings, alert_options options)
    : m_hooks(hooks)
    , m_self(settings.self.id)
    , m_options(options)
    , m_tracker(options.filter)
{
    m_port.active = [this] { return m_tracker.active(); };
}

service alert_service::asService()
{
    service item;
    item.name = port_names::alerts;
    item.dependencies = { port_names::control, port_names::consensus, port_names::membership };
    item.start = [this](registry& services) { return start(services); };
    item.stop = [this](std::function<void()> stopped) {
        m_hooks.cancel(m_timer);
        stopped();
    };
    item.dump = [this] { return dump(); };
    return item;
}

absl::Status alert_service::start(registry& services)
{
    m_control = *services.find<control_port>(port_names::control);
    m_consensus = *services.find<consensus_port>(port_names::consensus);
    m_membership = *services.find<membership_port>(port_names::membership);
    m_membership->onAnswer(
        [this](const heartbeat_answer& answer, time_point) { m_loads.receive(answer, m_hooks.now()); });
    m_timer = m_hooks.schedule(m_options.tickInterval, [this] { tick(); });
    return services.publish(port_names::alerts, m_port);
}

void alert_service::tick()
{
    m_timer = m_hooks.schedule(m_options.tickInterval, [this] { tick(); });
    const alert_changes changes = m_tracker.update(findRisks(), m_hooks.now(), m_hooks.wallNow());
    for (const alert& item : changes.raised)
        log(log_level::Error, "alert raised", item);
    for (const alert& item : changes.resolved)
        log(log_level::Info, "alert resolved", item);
}

std::vector<risk_condition> alert_service::findRisks()
{
    std::vector<risk_condition> risks = findOwnRisks();
    if (m_membership->isCaughtUpLeader() && !m_membership->stopping())
        append(risks, findSystemRisks());
    return risks;
}

std::vector<risk_condition> alert_service::findOwnRisks() const
{
    if (m_consensus->state().current || m_membership->stopping())
        return {};
    return { { absl::StrCat("control:", m_self.value()), "a configuration is in force everywhere within seconds",
        absl::StrCat("vm '", m_self.value(), "' has no leader contact"),
        "it keeps its configuration and uses only slots that cannot be allocated to other VMs", controlDelay } };
}

std::vector<risk_condition> alert_service::findSystemRisks()
{
    const voter_set voters = m_consensus->voters();
    const std::vector<vm_report> reports = m_membership->reports();
    const time_point now = m_hooks.now();
    const system_view view { m_control->state(), voters, reports, m_loads.known(now), m_loads.loads(),
        m_hooks.wallNow() };
    if (now - m_outcomesFoundAt >= m_options.outcomeInterval) {
        m_outcomesFoundAt = now;
        m_outcomeRisks = findOutcomeRisks(view);
    }
    std::vector<risk_condition> risks = m_outcomeRisks;
    append(risks, findQuorumRisk(view));
    append(risks, findCapacityRisks(view));
    append(risks, findConfigurationRisk(view));
    append(risks, findAllocatorRisks(view));
    append(risks, findShiftRisks(view));
    return risks;
}

void alert_service::log(log_level level, const char* what, const alert& item) const
{
    m_hooks.log({ level, port_names::alerts, what,
        { { "id", item.id }, { "promise", item.promise }, { "what", item.what }, { "action", item.action } } });
}

state_dump alert_service::dump() const
{
    state_dump shown(port_names::alerts);
    for (const alert& item : m_tracker.active())
        shown.add(item.id, item.what);
    return shown;
}

} // namespace plantainlatch
