#include "decision/request/request_service.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "core/internal_assert.h"
#include "decision/entries/known_entries.h"
#include "decision/request/request_fingerprint.h"
#include "decision/request/request_log.h"
#include "decision/request/system_answers.h"
#include "ports/port_names.h"

namespace plantainlatch {

namespace {

    request_traits traitsOf(
        const caller_request& request, const route_definition* route, const service_definition* definition)
    {
        request_traits traits;
        if (route != nullptr) {
            traits.idempotent = route->idempotent;
            return traits;
        }
        traits.idempotent = definition != nullptr && isIdempotent(*definition, request.method, request.target);
        traits.needsClaim = request.key.has_value() && !traits.idempotent;
        return traits;
    }

    /** No region may be used if the route and the account have no allowed region in common. */
    bool haveCommonRegion(const route_definition& route, const client_account& account)
    {
        return commonRegions(route.allowedRegions, account.allowedRegions).has_value();
    }

    routing_policy policyOf(const route_definition& route, const client_account* account, const caller_request& request)
    {
        routing_policy policy;
        policy.route = route.id;
        if (route.sticky && !request.affinity.empty())
            policy.object = absl::StrCat(route.id.value(), "/", request.affinity);
        policy.allowedRegions = route.allowedRegions;
        policy.targetLatency = route.targetLatency;
        policy.priority = route.priority;
        policy.maximumAttempts = route.maximumAttempts;
        if (account == nullptr)
            return policy;
        internal_assert(haveCommonRegion(route, *account)) << "an empty list would allow all regions";
        policy.allowedRegions = *commonRegions(route.allowedRegions, account->allowedRegions);
        policy.priority = account->priority.value_or(route.priority);
        return policy;
    }

    /** `declared` is the limit of the route or service. */
    deadline_source deadlineSourceOf(const caller_request& request, duration declared)
    {
        if (!request.deadline || *request.deadline >= declared)
            return deadline_source::Declaration;
        return request.stopsIn && *request.deadline >= *request.stopsIn ? deadline_source::Stop
                                                                        : deadline_source::Caller;
    }

} // namespace

absl::StatusOr<std::unique_ptr<request_service>> request_service::create(
    const kernel_hooks& hooks, const vm_settings& settings, request_options options)
{
    if (settings.vms.empty())
        return absl::InvalidArgumentError("the list of VMs in the settings is empty");
    return std::unique_ptr<request_service>(new request_service(hooks, settings, std::move(options)));
}

request_service::request_service(const kernel_hooks& hooks, const vm_settings& settings, request_options options)
    : m_hooks(hooks)
    , m_settings(settings)
    , m_options(std::move(options))
{
    if (m_options.retryWindow)
        m_retryWindow.emplace(*m_options.retryWindow);
    m_port.submit = [this](caller_request request, std::function<void(caller_answer)> deliver) {
        return submit(std::move(request), std::move(deliver));
    };
    m_port.cancel = [this](request_id id) { cancel(id); };
}

service request_service::asService()
{
    service item;
    item.name = port_names::requests;
    item.dependencies = { port_names::control, port_names::consensus, port_names::slots, port_names::upstreams };
    if (m_options.maximumContactAge)
        item.dependencies.push_back(port_names::membership);
    if (m_options.chargesQuotas)
        item.dependencies.emplace_back(port_names::quotas);
    item.start = [this](registry& services) { return start(services); };
    item.stop = [this](std::function<void()> stopped) { stop(std::move(stopped)); };
    item.dump = [this] { return dump(); };
    return item;
}

absl::Status request_service::start(registry& services)
{
    consensus_port* consensus = nullptr;
    slot_port* slots = nullptr;
    upstream_port* upstreams = nullptr;
    absl::Status status = services.findInto(port_names::control, m_control);
    status.Update(services.findInto(port_names::consensus, consensus));
    status.Update(services.findInto(port_names::slots, slots));
    status.Update(services.findInto(port_names::upstreams, upstreams));
    if (m_options.maximumContactAge)
        status.Update(services.findInto(port_names::membership, m_membership));
    if (m_options.chargesQuotas)
        status.Update(services.findInto(port_names::quotas, m_quotas));
    if (!status.ok())
        return status;
    m_consensus = consensus;
    m_accountBarrier = shared_read_barrier::create(m_hooks, *consensus, m_options.accountBarrierInterval,
        m_options.accountBarrierTimeout,
        [this](std::uint64_t number, const absl::Status& ended) { onBarrierEnd(number, ended); });
    m_claims = key_claims::create(m_hooks, *consensus, *m_control, m_options.policies.releasesLateClaims);
    m_crashes = crash_guard::create(
        { m_hooks, *consensus, *m_control, *m_claims, m_options.crashReportTimeout, m_options.crashes });
    m_environment = std::make_unique<request_environment>(request_environment { m_hooks, m_options, *slots, *upstreams,
        *m_claims, *m_crashes, [this](const service_id& service) { return tryAcquireRetry(service); }, m_hedges,
        m_durations, m_statistics, [this] { return call_id(++m_lastCall); } });
    return services.publish(port_names::requests, m_port);
}

void request_service::creditRetryBudget(const service_id& service)
{
    if (m_retryWindow)
        m_retryWindow->recordRequest(service, m_hooks.now());
    else
        m_budget.recordRequest();
}

bool request_service::tryAcquireRetry(const service_id& service)
{
    if (!m_retryWindow)
        return m_budget.tryAcquire();
    return m_retryWindow->tryAcquire(service, m_hooks.now(), knownEntries(m_control->state()).size());
}

request_id request_service::submit(caller_request request, std::function<void(caller_answer)> deliver)
{
    const request_id id(++m_lastRequest);
    ++m_statistics.requests;
    if (!request.host.empty())
        submitRouted(id, std::move(request), std::move(deliver));
    else
        submitTo(id, nullptr, nullptr, std::move(request), std::move(deliver));
    return id;
}

void request_service::submitRouted(
    request_id id, caller_request request, std::function<void(caller_answer)> deliver, account_lookup lookup)
{
    m_routes.update(m_control->state().config);
    m_accounts.update(m_control->state().config);
    const route_definition* route = m_routes.find(request.host, request.target);
    if (route == nullptr) {
        refuse(request, systemAnswer(outcome::NotRun, currentOrNotReady(answer_reason::UnknownRoute)), deliver);
        return;
    }
    const client_account* account = nullptr;
    if (needsCredential(m_control->state().config) && !route->isPublic) {
        account = m_accounts.find(request.credential);
        if (!hasRequiredContact()) {
            refuse(request, systemAnswer(outcome::NotRun, answer_reason::NotReady), deliver);
            return;
        }
        if (account == nullptr && lookup == account_lookup::First && mayWaitForAccount(request)) {
            waitForAccount(id, *route, std::move(request), std::move(deliver));
            return;
        }
        if (account == nullptr) {
            refuse(
                request, systemAnswer(outcome::NotRun, currentOrNotReady(answer_reason::UnknownCredential)), deliver);
            return;
        }
        request.account = account->id;
        if (!haveCommonRegion(*route, *account)) {
            refuse(request, systemAnswer(outcome::NotRun, answer_reason::NoUpstream), deliver);
            return;
        }
    }
    request.credential.clear();
    request.service = m_routes.chooseService(*route);
    submitTo(id, route, account, std::move(request), std::move(deliver));
}

bool request_service::hasRequiredContact() const
{
    if (m_membership == nullptr)
        return true;
    const std::optional<duration> age = m_membership->leaderContactAge();
    return age && *age <= *m_options.maximumContactAge;
}

bool request_service::mayWaitForAccount(const caller_request& request) const
{
    if (request.credential.empty() || m_lifecycle == lifecycle::Draining || !hasCurrentConfiguration())
        return false;
    const bool hasRoom = m_unidentified.size() < m_options.maximumUnidentified
        && m_unidentifiedBytes + request.body.size() <= m_options.maximumUnidentifiedBytes.value();
    return hasRoom || m_unidentified.empty();
}

void request_service::waitForAccount(
    request_id id, const route_definition& route, caller_request request, std::function<void(caller_answer)> deliver)
{
    request.deadline = std::min(request.deadline.value_or(route.timeLimit), route.timeLimit);
    unidentified_request waiting;
    waiting.arrivedAt = m_hooks.now();
    waiting.barrier = m_accountBarrier->join();
    waiting.deadlineTimer = m_hooks.schedule(std::max(duration::zero(), *request.deadline),
        [this, id] { refuseUnidentified(id, answer_reason::DeadlineExceeded); });
    waiting.content = std::move(request);
    waiting.deliver = std::move(deliver);
    m_unidentifiedBytes += waiting.content.body.size();
    m_unidentified.emplace(id, std::move(waiting));
}

std::optional<request_service::unidentified_request> request_service::takeUnidentified(request_id id)
{
    auto removed = m_unidentified.extract(id);
    if (removed.empty())
        return std::nullopt;
    unidentified_request waiting = std::move(removed.mapped());
    m_hooks.cancel(waiting.deadlineTimer);
    m_unidentifiedBytes -= waiting.content.body.size();
    const duration waited = m_hooks.now() - waiting.arrivedAt;
    *waiting.content.deadline -= waited;
    if (waiting.content.stopsIn)
        *waiting.content.stopsIn -= waited;
    return waiting;
}

void request_service::refuseUnidentified(request_id id, answer_reason reason)
{
    if (const std::optional<unidentified_request> waiting = takeUnidentified(id))
        refuse(waiting->content, systemAnswer(outcome::NotRun, reason), waiting->deliver);
}

void request_service::onBarrierEnd(std::uint64_t number, const absl::Status& status)
{
    std::vector<request_id> ended;
    for (const auto& [id, waiting] : m_unidentified) {
        if (waiting.barrier <= number)
            ended.push_back(id);
    }
    for (const request_id id : ended) {
        if (!status.ok())
            refuseUnidentified(id, answer_reason::NotReady);
        else if (std::optional<unidentified_request> waiting = takeUnidentified(id))
            submitRouted(id, std::move(waiting->content), std::move(waiting->deliver), account_lookup::AfterBarrier);
    }
}

void request_service::submitTo(request_id id, const route_definition* route, const client_account* account,
    caller_request request, std::function<void(caller_answer)> deliver)
{
    const auto& services = m_control->state().config.services;
    const auto found = services.find(request.service);
    const service_definition* definition = found != services.end() ? &found->second : nullptr;
    const request_traits traits = traitsOf(request, route, definition);
    if (const std::optional<answer_reason> reason = refusalReason(request, definition)) {
        refuse(request, systemAnswer(m_options.policies.unresolvedOutcome(traits), *reason), deliver);
        return;
    }
    if (std::optional<caller_answer> answer = chargeQuota(request, traits)) {
        refuse(request, *std::move(answer), deliver);
        return;
    }
    creditRetryBudget(request.service);
    m_bodyBytes += request.body.size();
    admitted_request admitted = admit(std::move(request), route, account, *definition);
    admitted.id = id;
    admitted.traits = traits;
    const auto run = request_run::create(*m_environment, std::move(admitted),
        [this](const admitted_request& ended, caller_answer answer) { onDone(ended, std::move(answer)); });
    m_running.emplace(id, running_request { run, std::move(deliver) });
    run->begin();
}

std::optional<caller_answer> request_service::chargeQuota(const caller_request& request, const request_traits& traits)
{
    if (m_quotas == nullptr || request.account.empty())
        return std::nullopt;
    const quota_verdict verdict = m_quotas->acquire(request.account);
    if (verdict.admitted)
        return std::nullopt;
    caller_answer answer = systemAnswer(m_options.policies.unresolvedOutcome(traits), answer_reason::QuotaExceeded);
    // A whole number of milliseconds, rounded up: a caller that returns too early is refused again.
    if (verdict.retryAfter)
        answer.retryAfter = std::chrono::ceil<std::chrono::milliseconds>(*verdict.retryAfter);
    return answer;
}

void request_service::refuse(
    const caller_request& request, caller_answer answer, const std::function<void(caller_answer)>& deliver)
{
    m_hooks.log(requestRefused(request, answer));
    countAnswer(answer);
    deliver(std::move(answer));
}

bool request_service::hasCurrentConfiguration() const
{
    return m_control->state().config.number > change_number() && m_consensus->state().current;
}

answer_reason request_service::currentOrNotReady(answer_reason reason) const
{
    return hasCurrentConfiguration() ? reason : answer_reason::NotReady;
}

std::optional<answer_reason> request_service::refusalReason(
    const caller_request& request, const service_definition* definition)
{
    const bool hasStopped = request.stopsIn && *request.stopsIn <= duration::zero();
    if (m_lifecycle == lifecycle::Draining || hasStopped)
        return answer_reason::Draining;
    if (definition == nullptr)
        return currentOrNotReady(answer_reason::UnknownService);
    if (request.body.size() > definition->maximumBody.value())
        return answer_reason::BodyTooLarge;
    if (request.key && request.key->empty())
        return answer_reason::MalformedRequest;
    if (request.deadline && *request.deadline <= duration::zero())
        return answer_reason::DeadlineExceeded;
    const bool full = m_running.size() >= m_options.maximumRequests
        || m_bodyBytes + request.body.size() > m_options.maximumBodyBytes.value();
    if (full)
        return answer_reason::Overloaded;
    return std::nullopt;
}

admitted_request request_service::admit(caller_request request, const route_definition* route,
    const client_account* account, const service_definition& definition)
{
    admitted_request admitted;
    if (route != nullptr)
        admitted.policy = policyOf(*route, account, request);
    admitted.fingerprint = fingerprintOf(request);
    admitted.callerFingerprint = callerFingerprintOf(request, admitted.fingerprint);
    const duration requested = request.deadline.value_or(definition.defaultDeadline);
    admitted.arrivedAt = m_hooks.now();
    const duration limit = route != nullptr ? route->timeLimit : definition.maximumDeadline;
    admitted.deadline = admitted.arrivedAt + std::min(requested, limit);
    admitted.limitedBy = deadlineSourceOf(request, limit);
    if (request.stopsIn)
        admitted.stopAt = admitted.arrivedAt + *request.stopsIn;
    admitted.keyRetention = definition.keyRetention;
    admitted.connectionLimit = connectionShare(definition);
    admitted.content = std::move(request);
    return admitted;
}

std::uint32_t request_service::connectionShare(const service_definition& definition) const
{
    const std::size_t entries = knownEntries(m_control->state()).size();
    const auto vms = static_cast<std::uint32_t>(std::max(entries, m_settings.vms.size()));
    return std::max<std::uint32_t>(1, definition.connections / vms);
}

void request_service::cancel(request_id id)
{
    if (const std::optional<unidentified_request> waiting = takeUnidentified(id)) {
        ++m_statistics.abandoned;
        m_hooks.log(callerLeft(waiting->content));
        return;
    }
    const auto position = m_running.find(id);
    if (position == m_running.end())
        return;
    position->second.deliver = nullptr;
    ++m_statistics.abandoned;
    const std::shared_ptr<request_run> run = position->second.run;
    m_hooks.log(callerLeft(run->request().content));
    run->callerLeft();
}

void request_service::onDone(const admitted_request& request, caller_answer answer)
{
    const auto position = m_running.find(request.id);
    internal_assert(position != m_running.end()) << "request " << request.id.value() << " ends twice";
    const std::function<void(caller_answer)> deliver = std::move(position->second.deliver);
    if (m_quotas != nullptr && !request.content.account.empty() && !position->second.run->reachedUpstream())
        m_quotas->refund(request.content.account);
    m_running.erase(position);
    m_bodyBytes -= request.content.body.size();
    if (answer.result == outcome::Completed || answer.result == outcome::Unknown)
        m_durations.observe({ request.policy.route, request.content.service }, m_hooks.now() - request.arrivedAt);
    if (deliver) {
        answer.route = request.policy.route;
        answer.service = request.content.service;
        m_hooks.log(requestAnswered(request, answer, m_hooks.now() - request.arrivedAt));
        countAnswer(answer);
        deliver(std::move(answer));
    }
    if (m_lifecycle == lifecycle::Draining && m_running.empty())
        finishStop();
}

void request_service::countAnswer(const caller_answer& answer)
{
    switch (answer.result) {
    case outcome::NotRun:
        ++m_statistics.notRun;
        return;
    case outcome::Unknown:
        ++m_statistics.unknown;
        return;
    case outcome::InProgress:
        ++m_statistics.inProgress;
        return;
    case outcome::Replayed:
        ++m_statistics.replayed;
        return;
    case outcome::Completed:
        ++m_statistics.completed;
        return;
    }
}

void request_service::stop(std::function<void()> stopped)
{
    m_stopped = std::move(stopped);
    m_lifecycle = lifecycle::LameDuck;
    m_hooks.schedule(m_options.lameDuckTime.value_or(m_settings.lookupCacheTime), [this] { drain(); });
}

void request_service::drain()
{
    if (m_options.policies.refusesWhileStopping())
        m_lifecycle = lifecycle::Draining;
    while (!m_unidentified.empty())
        refuseUnidentified(m_unidentified.begin()->first, answer_reason::Draining);
    if (m_running.empty())
        finishStop();
}

void request_service::finishStop()
{
    if (!m_stopped)
        return;
    const auto stopped = std::make_shared<std::function<void()>>(std::exchange(m_stopped, nullptr));
    const auto once = [this, stopped] {
        if (!*stopped)
            return;
        internal_assert(m_running.empty()) << m_running.size() << " requests are in flight after the stop";
        internal_assert(m_crashes->openTickets() == 0)
            << m_crashes->openTickets() << " crash guard tickets are open after the stop";
        std::exchange(*stopped, nullptr)();
    };
    m_hooks.schedule(m_options.settlementStopTimeout, once);
    m_claims->whenSettled(once);
}

state_dump request_service::dump() const
{
    state_dump root;
    root.add("in_flight", static_cast<std::uint64_t>(m_running.size()));
    root.add("body_bytes", m_bodyBytes);
    root.add("waiting_for_account", static_cast<std::uint64_t>(m_unidentified.size()));
    root.add("draining", m_lifecycle != lifecycle::Serving);
    root.add("requests", m_statistics.requests);
    root.add("completed", m_statistics.completed);
    root.add("replayed", m_statistics.replayed);
    root.add("not_run", m_statistics.notRun);
    root.add("unknown", m_statistics.unknown);
    root.add("in_progress", m_statistics.inProgress);
    root.add("abandoned", m_statistics.abandoned);
    root.add("retries", m_statistics.retries);
    root.add("hedges", m_statistics.hedges);
    root.add("late_dispatches", m_statistics.lateDispatches);
    root.add("owed_settlements", static_cast<std::uint64_t>(m_claims->pendingSettlements()));
    if (m_retryWindow) {
        state_dump& left = root.addObject("retries_left");
        for (const auto& [service, definition] : m_control->state().config.services)
            left.add(service.value(),
                m_retryWindow->remaining(service, m_hooks.now(), knownEntries(m_control->state()).size()));
    }
    root.add("late_claims", static_cast<std::uint64_t>(m_claims->lateClaims()));
    return root;
}

} // namespace plantainlatch
