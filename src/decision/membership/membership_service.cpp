#include "decision/membership/membership_service.h"

#include <algorithm>
#include <utility>

#include "core/internal_assert.h"
#include "decision/membership/allocator_assignment.h"
#include "decision/peers/peer_router.h"
#include "ports/measurement_port.h"
#include "ports/port_names.h"

namespace plantainlatch {

namespace {

    /** Maximum number of unanswered heartbeats that are tracked; when it is exceeded, the oldest is dropped. */
    constexpr std::size_t maximumUnanswered = 64;

    bool isKnownStart(const control_snapshot& state, const vm_heartbeat& heartbeat)
    {
        const auto found = state.vms.find(heartbeat.vm);
        return found != state.vms.end() && found->second.start == heartbeat.start;
    }

} // namespace

absl::StatusOr<std::unique_ptr<membership_service>> membership_service::create(
    const kernel_hooks& hooks, const vm_settings& settings, membership_options options)
{
    if (options.heartbeatInterval <= duration::zero() || options.deadAfter <= options.heartbeatInterval)
        return absl::InvalidArgumentError("heartbeatInterval must be positive and less than deadAfter");
    return std::unique_ptr<membership_service>(new membership_service(hooks, settings, options));
}

membership_service::membership_service(
    const kernel_hooks& hooks, const vm_settings& settings, membership_options options)
    : m_hooks(hooks)
    , m_settings(settings)
    , m_options(options)
    , m_start(hooks.random())
    , m_leases(options.leases)
{
    fillPort();
}

void membership_service::fillPort()
{
    m_port.start = [this] { return m_start; };
    m_port.liveVms = [this] {
        std::vector<vm_id> live;
        for (const vm_report& report : reports())
            live.push_back(report.last.vm);
        return live;
    };
    m_port.allocatorLeaseEnd = [this](const region_id& region) { return allocatorLeaseEnd(region); };
    m_port.allocatorLease = [this] { return m_options.leases.lease + m_options.leases.drift; };
    m_port.stopping = [this] { return m_stopping; };
    m_port.markUnfinishedWork = [this] { m_hasUnfinishedWork = true; };
    m_port.beginStop = [this] {
        m_stopping = true;
        sendHeartbeat();
        for (const auto& listener : m_onAvoided)
            listener();
    };
    m_port.avoided = [this] { return m_avoided; };
    m_port.reports = [this] { return reports(); };
    m_port.isCaughtUpLeader = [this] { return isCaughtUpLeader(); };
    m_port.hasLeaderContact = [this] {
        return m_lastLeaderContact && m_hooks.now() - *m_lastLeaderContact <= m_options.leaderContactTimeout;
    };
    m_port.leaderContactAge = [this]() -> std::optional<duration> {
        if (!m_lastLeaderContact)
            return std::nullopt;
        return m_hooks.now() - *m_lastLeaderContact;
    };
    m_port.joined = [this] {
        const auto known = m_control->state().vms.find(m_settings.self.id);
        return known != m_control->state().vms.end() && known->second.start == m_start;
    };
    m_port.onSend = [this](auto hook) { m_onSend.push_back(std::move(hook)); };
    m_port.onHeartbeat = [this](auto reader) { m_onHeartbeat.push_back(std::move(reader)); };
    m_port.onAnswer = [this](auto reader) { m_onAnswer.push_back(std::move(reader)); };
    m_port.onAvoidedChange = [this](auto listener) { m_onAvoided.push_back(std::move(listener)); };
}

service membership_service::asService()
{
    service item;
    item.name = port_names::membership;
    item.dependencies = { port_names::control, port_names::consensus, port_names::peerRouter };
    item.start = [this](registry& services) { return start(services); };
    item.stop = [this](std::function<void()> stopped) { stop(std::move(stopped)); };
    item.dump = [this] { return dump(); };
    return item;
}

void membership_service::stop(std::function<void()> stopped)
{
    m_hooks.cancel(m_timer);
    m_timer = timer_id();
    if (m_hasUnfinishedWork || m_consensus->state().leader.empty()) {
        stopped();
        return;
    }
    // Recording a clean stop lets later slot allocators grant slots without waiting for requests of this VM.
    duration longest {};
    for (const auto& [id, service] : m_control->state().config.services)
        longest = std::max(longest, service.maximumDeadline);
    const bool earlierWorkEnded = m_hooks.now() - m_startedAt >= longest + m_options.earlierWorkMargin;
    m_consensus->propose(vm_stopped { m_settings.self.id, m_start, earlierWorkEnded }, m_options.stopTimeout,
        [stopped = std::move(stopped)](const absl::StatusOr<command_result>&) { stopped(); });
}

absl::Status membership_service::start(registry& services)
{
    m_startedAt = m_hooks.now();
    m_services = &services;
    m_control = *services.find<control_port>(port_names::control);
    m_consensus = *services.find<consensus_port>(port_names::consensus);
    m_router = *services.find<peer_router>(port_names::peerRouter);
    m_router->subscribeControl([this](const vm_id& from, const control_message& message) { receive(from, message); });
    m_consensus->onLeadership([this](const leadership& leadershipState) { onLeadership(leadershipState); });
    m_timer = m_hooks.schedule(duration::zero(), [this] { tick(); });
    return services.publish(port_names::membership, m_port);
}

void membership_service::tick()
{
    m_timer = m_hooks.schedule(m_options.heartbeatInterval, [this] { tick(); });
    updateLeadership(m_consensus->state());
    proposeStart();
    sendHeartbeat();
    if (isCaughtUpLeader() && m_options.assignsAllocators)
        assignAllocators();
}

void membership_service::onLeadership(const leadership& leadershipState)
{
    updateLeadership(leadershipState);
    const bool isOtherLeader = !leadershipState.leader.empty() && leadershipState.leader != m_lastLeader;
    m_lastLeader = leadershipState.leader;
    if (!isOtherLeader)
        return;
    // Without waiting for the next tick: an entry serves only once its start is recorded, and renews registrations of
    // upstreams only once the leader has answered its heartbeat.
    proposeStart();
    sendHeartbeat();
}

void membership_service::proposeStart()
{
    const auto known = m_control->state().vms.find(m_settings.self.id);
    const bool isRecorded = known != m_control->state().vms.end() && known->second.start == m_start
        && known->second.record == m_settings.self;
    if (isRecorded || m_startProposed || m_stopping)
        return;
    m_startProposed = true;
    m_consensus->propose(vm_started { m_settings.self, m_start }, m_options.proposalTimeout,
        [this](const absl::StatusOr<command_result>&) { m_startProposed = false; });
}

vm_heartbeat membership_service::makeHeartbeat(const leadership& leadershipState)
{
    vm_heartbeat heartbeat;
    heartbeat.vm = m_settings.self.id;
    heartbeat.start = m_start;
    heartbeat.sequence = ++m_sequence;
    heartbeat.applied = m_consensus->applied();
    heartbeat.inForce = m_control->state().config.number;
    heartbeat.draining = m_stopping;
    heartbeat.term = leadershipState.term;
    for (const auto& [role, until] : m_roles) {
        if (until > m_hooks.now() && !m_stopping)
            heartbeat.held.push_back(role);
    }
    // Looked up for each heartbeat, as the service that publishes this port starts after this one.
    const auto measurements = m_services->find<measurement_port>(port_names::measurements);
    heartbeat.measured = measurements.ok();
    if (heartbeat.measured)
        heartbeat.measurements = (*measurements)->take();
    for (const auto& hook : m_onSend)
        hook(heartbeat);
    return heartbeat;
}

void membership_service::sendHeartbeat()
{
    const leadership leadershipState = m_consensus->state();
    if (leadershipState.leader.empty())
        return;
    const vm_heartbeat heartbeat = makeHeartbeat(leadershipState);
    m_sent.push_back({ heartbeat.sequence, m_hooks.now() });
    if (m_sent.size() > maximumUnanswered)
        m_sent.pop_front();
    if (leadershipState.leader != m_settings.self.id)
        m_router->send(leadershipState.leader, control_message(heartbeat));
    else if (leadershipState.leading)
        receiveAnswer(answerHeartbeat(heartbeat));
}

void membership_service::receive(const vm_id& from, const control_message& message)
{
    if (const auto* heartbeat = std::get_if<vm_heartbeat>(&message)) {
        if (heartbeat->vm == from && m_consensus->state().leading)
            m_router->send(from, control_message(answerHeartbeat(*heartbeat)));
        return;
    }
    const auto* answer = std::get_if<heartbeat_answer>(&message);
    if (answer != nullptr && answer->start == m_start)
        receiveAnswer(*answer);
}

heartbeat_answer membership_service::answerHeartbeat(const vm_heartbeat& heartbeat)
{
    updateLeadership(m_consensus->state());
    noteHeartbeat(heartbeat);
    heartbeat_answer answer;
    answer.sequence = heartbeat.sequence;
    answer.start = heartbeat.start;
    answer.term = m_term;
    answer.avoided = findAvoided();
    if (!isCaughtUpLeader() || heartbeat.term != m_term || !isKnownStart(m_control->state(), heartbeat))
        return answer;
    grantRoleLeases(heartbeat, answer);
    for (const auto& reader : m_onHeartbeat)
        reader(heartbeat, answer);
    return answer;
}

void membership_service::noteHeartbeat(const vm_heartbeat& heartbeat)
{
    if (!isKnownStart(m_control->state(), heartbeat))
        return;
    const time_point now = m_hooks.now();
    vm_report& report = m_reports[heartbeat.vm];
    const bool sameStart = report.last.start == heartbeat.start;
    if (sameStart && report.last.sequence >= heartbeat.sequence)
        return;
    if (!sameStart || now - report.receivedAt > m_options.deadAfter)
        report.aliveSince = now;
    report.last = heartbeat;
    report.receivedAt = now;
    internal_assert(m_reports.size() <= m_control->state().vms.size()) << m_reports.size();
}

void membership_service::sampleApplied()
{
    const time_point now = m_hooks.now();
    if (!m_appliedSamples.empty() && now - m_appliedSamples.back().at < m_options.appliedLag / 8)
        return;
    m_appliedSamples.push_back({ now, m_consensus->applied() });
    // Drops older samples, so that the first is the latest one that is at least appliedLag old.
    while (m_appliedSamples.size() > 1 && m_appliedSamples[1].at <= now - m_options.appliedLag)
        m_appliedSamples.pop_front();
}

std::optional<log_index> membership_service::requiredAppliedIndex() const
{
    if (!m_isCaughtUp || m_appliedSamples.empty())
        return std::nullopt;
    // Early in a term, the first sample is younger than appliedLag. It is used nevertheless, as it was taken after this
    // leader had applied all entries that earlier leaders could have committed.
    return m_appliedSamples.front().applied;
}

void membership_service::grantRoleLeases(const vm_heartbeat& heartbeat, heartbeat_answer& answer)
{
    const time_point now = m_hooks.now();
    if (m_isCaughtUp)
        sampleApplied();
    const std::optional<log_index> required = requiredAppliedIndex();
    const bool isLagging = m_options.leasesNeedApplied && (!required || heartbeat.applied < *required);
    for (const allocator_role& role : heartbeat.held)
        m_leases.adopt(role.region, role.epoch, now);
    for (const auto& [region, record] : m_control->state().allocators) {
        if (record.vm != heartbeat.vm || record.start != heartbeat.start)
            continue;
        if (heartbeat.draining)
            m_leases.release(region, record.epoch);
        else if (!isLagging && m_leases.grant(region, record.epoch, now))
            answer.leased.push_back({ region, record.epoch });
    }
    answer.allocatorLease = m_options.leases.lease;
}

void membership_service::receiveAnswer(const heartbeat_answer& answer)
{
    const auto sent = std::find_if(m_sent.begin(), m_sent.end(),
        [&](const sent_heartbeat& candidate) { return candidate.sequence == answer.sequence; });
    if (sent == m_sent.end())
        return;
    const time_point sentAt = sent->sentAt;
    m_lastLeaderContact = sentAt;
    m_sent.erase(m_sent.begin(), std::next(sent));
    for (const allocator_role& role : answer.leased) {
        time_point& until = m_roles[role];
        until = std::max(until, sentAt + answer.allocatorLease);
    }
    std::erase_if(m_roles, [&](const auto& entry) { return entry.second <= m_hooks.now(); });
    setAvoided(answer.avoided);
    for (const auto& reader : m_onAnswer)
        reader(answer, sentAt);
}

void membership_service::setAvoided(std::vector<vm_id> avoided)
{
    if (avoided == m_avoided)
        return;
    m_avoided = std::move(avoided);
    for (const auto& listener : m_onAvoided)
        listener();
}

void membership_service::updateLeadership(const leadership& leadershipState)
{
    if (!leadershipState.leading) {
        m_term = log_term();
        m_isCaughtUp = false;
        m_reports.clear();
        m_assigning.clear();
        m_appliedSamples.clear();
        return;
    }
    if (leadershipState.term == m_term)
        return;
    m_term = leadershipState.term;
    m_isCaughtUp = false;
    m_reports.clear();
    m_assigning.clear();
    m_appliedSamples.clear();
    m_leaderSince = m_hooks.now();
    m_leases.beginTerm(m_leaderSince);
    // Once this leader has applied an entry of its own term, it has applied all entries that earlier leaders could have
    // committed.
    m_consensus->propose(noop_command {}, m_options.proposalTimeout,
        [this, term = m_term](const absl::StatusOr<command_result>& result) {
            if (m_term != term)
                return;
            m_isCaughtUp = result.ok();
            if (!m_isCaughtUp)
                m_term = log_term(); // Retried on the next tick.
        });
}

void membership_service::assignAllocators()
{
    const time_point now = m_hooks.now();
    const std::vector<vm_report> live = reports();
    for (const auto& [region, definition] : m_control->state().config.regions) {
        const auto pending = m_assigning.find(region);
        if (pending != m_assigning.end() && now < pending->second)
            continue;
        std::optional<assign_allocator> wanted = chooseAllocator(m_control->state(), region, live, now);
        if (!wanted.has_value())
            continue;
        m_assigning[region] = now + m_options.proposalTimeout;
        m_consensus->propose(*wanted, m_options.proposalTimeout,
            [this, name = region](const absl::StatusOr<command_result>&) { m_assigning.erase(name); });
        return; // The proposal may have changed the state; the next region is handled on the next tick.
    }
}

std::vector<vm_report> membership_service::reports() const
{
    std::vector<vm_report> live;
    if (!m_consensus->state().leading)
        return live;
    for (const auto& [vm, report] : m_reports) {
        if (m_hooks.now() - report.receivedAt <= m_options.deadAfter)
            live.push_back(report);
    }
    return live;
}

std::vector<vm_id> membership_service::findAvoided() const
{
    std::vector<vm_id> avoided;
    const bool knowsAll = isCaughtUpLeader() && m_hooks.now() >= m_leaderSince + m_options.deadAfter;
    for (const auto& [vm, record] : m_control->state().vms) {
        const auto report = m_reports.find(vm);
        const bool isAlive
            = report != m_reports.end() && m_hooks.now() - report->second.receivedAt <= m_options.deadAfter;
        // Until every live VM has had time to send a heartbeat, a new leader relies on the list of the previous leader.
        const bool missing = knowsAll || std::find(m_avoided.begin(), m_avoided.end(), vm) != m_avoided.end();
        if (isAlive ? report->second.last.draining : missing)
            avoided.push_back(vm);
    }
    return avoided;
}

std::optional<time_point> membership_service::allocatorLeaseEnd(const region_id& region) const
{
    const auto& allocators = m_control->state().allocators;
    const auto record = allocators.find(region);
    if (m_stopping || record == allocators.end())
        return {};
    if (record->second.vm != m_settings.self.id || record->second.start != m_start)
        return {};
    const auto role = m_roles.find({ region, record->second.epoch });
    if (role == m_roles.end() || role->second <= m_hooks.now())
        return {};
    return role->second;
}

bool membership_service::isCaughtUpLeader() const
{
    const leadership leadershipState = m_consensus->state();
    return leadershipState.leading && leadershipState.term == m_term && m_isCaughtUp;
}

state_dump membership_service::dump() const
{
    state_dump shown(port_names::membership);
    shown.add("start", m_start.value());
    shown.add("stopping", m_stopping);
    shown.add("leads", isCaughtUpLeader());
    state_dump& roles = shown.addObject("allocator_roles");
    for (const auto& [role, until] : m_roles)
        roles.add(role.region.value(), until - m_hooks.now());
    state_dump& avoided = shown.addList("avoided");
    for (const vm_id& vm : m_avoided)
        avoided.add("vm", vm.value());
    state_dump& heartbeatAges = shown.addObject("heard");
    for (const auto& [vm, report] : m_reports)
        heartbeatAges.add(vm.value(), m_hooks.now() - report.receivedAt);
    return shown;
}

} // namespace plantainlatch
