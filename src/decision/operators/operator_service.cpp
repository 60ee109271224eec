#include "decision/operators/operator_service.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "core/internal_assert.h"
#include "decision/control/apply_change.h"
#include "decision/control/apply_drain.h"
#include "decision/control/command_results.h"
#include "decision/declarations/declaration_difference.h"
#include "decision/declarations/declaration_merge.h"
#include "decision/operators/capacity_model.h"
#include "decision/operators/declaration_plan.h"
#include "decision/operators/drain_check.h"
#include "decision/operators/drain_order.h"
#include "decision/shifts/shift_step.h"
#include "ports/alert_port.h"
#include "ports/port_names.h"

namespace plantainlatch {

absl::StatusOr<configuration> configurationAt(const control_snapshot& state, change_number number)
{
    configuration config = state.history.empty() ? state.config : state.historyBase;
    if (config.number == number && number != change_number())
        return config;
    for (const history_record& record : state.history) {
        finding_list findings;
        absl::StatusOr<configuration> merged = mergeDeclaration(config, record.content, findings);
        internal_assert(merged.ok()) << "an accepted declaration no longer merges: " << findings.format();
        config = *std::move(merged);
        if (config.number == number)
            return config;
    }
    return absl::NotFoundError(absl::StrCat("the history does not contain change ", number.value()));
}

absl::StatusOr<std::unique_ptr<operator_service>> operator_service::create(
    const kernel_hooks& hooks, const vm_settings& settings, operator_options options)
{
    return std::unique_ptr<operator_service>(new operator_service(hooks, settings, options));
}

operator_service::operator_service(const kernel_hooks& hooks, const vm_settings& settings, operator_options options)
    : m_hooks(hooks)
    , m_self(settings.self.id)
    , m_options(options)
{
    m_port.apply = [this](const declaration& content, const result_handler& done) { apply(content, done); };
    m_port.plan = [this](const declaration& content) { return plan(content); };
    m_port.drain = [this](const drain_target& target, bool draining, bool force, const caller_check& senderWaits,
                       const result_handler& done) {
        drain({ target, draining, {} }, force, senderWaits, done);
    };
    m_port.status = [this] { return status(); };
    m_port.history = [this] { return m_control->state().history; };
    m_port.declarationBackTo = [this](change_number earlier) { return declarationBackTo(earlier); };
}

service operator_service::asService()
{
    service item;
    item.name = port_names::operators;
    item.dependencies = { port_names::control, port_names::consensus, port_names::membership };
    item.start = [this](registry& services) { return start(services); };
    return item;
}

absl::Status operator_service::start(registry& services)
{
    m_services = &services;
    m_control = *services.find<control_port>(port_names::control);
    m_consensus = *services.find<consensus_port>(port_names::consensus);
    m_membership = *services.find<membership_port>(port_names::membership);
    m_membership->onHeartbeat(
        [this](const vm_heartbeat& heartbeat, heartbeat_answer& reply) { answerHeartbeat(heartbeat, reply); });
    m_membership->onAnswer(
        [this](const heartbeat_answer& reply, time_point) { m_loads.receive(reply, m_hooks.now()); });
    return services.publish(port_names::operators, m_port);
}

void operator_service::answerHeartbeat(const vm_heartbeat& heartbeat, heartbeat_answer& reply)
{
    if (std::exchange(m_leaderTerm, reply.term) != reply.term)
        m_loads.beginTerm(m_hooks.now());
    m_loads.handleHeartbeat(m_control->state().config, heartbeat, reply, m_hooks.now());
    reply.lowestInForce = findLowestInForce();
}

change_number operator_service::findLowestInForce() const
{
    change_number lowest = m_control->state().config.number;
    for (const vm_report& report : m_membership->reports())
        lowest = std::min(lowest, report.last.inForce);
    return lowest;
}

std::optional<absl::StatusOr<command_result>> operator_service::decideLocally(const declaration& content) const
{
    const control_snapshot& state = m_control->state();
    if (content.replaces > state.config.number)
        return absl::UnavailableError(absl::StrCat("change ", content.replaces.value(),
            " is not in force on this VM yet; the VM has change ", state.config.number.value()));
    const command_result numberCheck = checkChangeNumber(state, content);
    if (numberCheck.verdict != command_verdict::Accepted)
        return numberCheck;
    const declaration_plan planned = plan(content);
    if (!planned.findings.empty())
        return refused(planned.findings.format());
    if (!m_options.refuseRisks)
        return {};
    const std::vector<std::string> risks = findUnacceptedRisks(planned, content);
    if (!risks.empty())
        return refused(
            absl::StrCat("the change has risks that it does not name in accept_risks:\n", absl::StrJoin(risks, "\n")));
    return {};
}

declaration_plan operator_service::plan(const declaration& content) const
{
    return planDeclaration(m_control->state(), content, { m_loads.known(m_hooks.now()), m_loads.loads() });
}

void operator_service::apply(const declaration& content, const result_handler& done)
{
    if (const auto localResult = decideLocally(content)) {
        done(*localResult);
        return;
    }
    m_consensus->propose(apply_declaration { content }, m_options.proposalTimeout, done);
}

void operator_service::drain(
    const set_drain& order, bool force, const caller_check& senderWaits, const result_handler& done)
{
    const control_snapshot& state = m_control->state();
    const drain_target& target = order.target;
    // Whether the target exists is decided when the order is applied, as this VM may not have applied its start yet.
    const bool begins = order.draining && !state.drains.contains(target) && isKnownTarget(state, target);
    if (begins && !force && m_options.refuseRisks) {
        std::vector<std::string> reasons = findDrainRisks(state, target, m_loads.loads());
        if (!m_loads.known(m_hooks.now()) && target.kind != drain_kind::Vm)
            reasons.emplace_back("the load is not known now, so the remaining capacity cannot be checked");
        if (!reasons.empty()) {
            done(refused(absl::StrJoin(reasons, "\n")));
            return;
        }
    }
    proposeDrain({ m_consensus, m_control, m_options.proposalTimeout }, order, senderWaits, done);
}

absl::StatusOr<declaration> operator_service::declarationBackTo(change_number earlier) const
{
    const control_snapshot& state = m_control->state();
    const absl::StatusOr<configuration> wanted = configurationAt(state, earlier);
    if (!wanted.ok())
        return wanted.status();
    declaration reversion = declarationBetween(state.config, *wanted);
    reversion.number = state.config.number.next();
    reversion.replaces = state.config.number;
    reversion.note = absl::StrCat("back to change ", earlier.value());
    return reversion;
}

system_status operator_service::status() const
{
    const leadership currentLeadership = m_consensus->state();
    system_status shown;
    shown.answeredBy = m_self;
    shown.leader = currentLeadership.leader;
    shown.current = currentLeadership.current;
    shown.inForceHere = m_control->state().config.number;
    shown.inForceEverywhere = m_membership->isCaughtUpLeader() ? findLowestInForce() : m_loads.lowestInForce();
    const auto alerts = m_services->find<alert_port>(port_names::alerts);
    if (alerts.ok())
        shown.alerts = (*alerts)->active();
    addDetails(shown.details);
    return shown;
}

void operator_service::addDetails(state_dump& details) const
{
    const control_snapshot& state = m_control->state();
    details.add("upstreams", static_cast<std::uint64_t>(state.directory.size()));
    details.add("load_known", m_loads.known(m_hooks.now()));
    state_dump& allocators = details.addObject("allocators");
    for (const auto& [region, record] : state.allocators)
        allocators.add(region.value(), record.vm.value());
    state_dump& shifts = details.addObject("shifts");
    for (const auto& [id, record] : state.shifts) {
        state_dump& shift = shifts.addObject(id.value());
        shift.add("percent", static_cast<std::uint64_t>(record.percent));
        shift.add("phase", phaseName(record.phase));
        shift.add("setbacks", static_cast<std::uint64_t>(record.setbacks));
    }
    state_dump& avoided = details.addList("vms_avoided");
    for (const vm_id& vm : m_membership->avoided())
        avoided.add("vm", vm.value());
    addDrains(details);
    addCapacity(details);
}

void operator_service::addDrains(state_dump& details) const
{
    const control_snapshot& state = m_control->state();
    state_dump& drains = details.addObject("drains");
    for (const drain_target& target : state.drains) {
        state_dump& shown = drains.addObject(describeTarget(target));
        if (target.kind != drain_kind::Vm) {
            shown.add("requests_per_second", requestRateAt(state, target, m_loads.loads()));
            continue;
        }
        for (const vm_report& report : m_membership->reports()) {
            if (report.last.vm.value() == target.name)
                shown.add("requests_in_flight", report.last.requestsInFlight);
        }
    }
}

void operator_service::addCapacity(state_dump& details) const
{
    const control_snapshot& state = m_control->state();
    state_dump& capacity = details.addObject("capacity");
    for (const location_capacity& location : estimateCapacity({ state, state.config, state.drains, m_loads.loads() })) {
        if (location.slots == 0 && location.demand == 0)
            continue;
        state_dump& shown
            = capacity.addObject(absl::StrCat(location.service.value(), " in ", location.failureDomain.value()));
        shown.add("slots", location.slots);
        shown.add("requests_at_once", location.demand);
    }
}

} // namespace plantainlatch
