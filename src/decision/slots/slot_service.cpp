#include "decision/slots/slot_service.h"

#include <algorithm>
#include <utility>

#include "core/internal_assert.h"
#include "ports/port_names.h"

namespace plantainlatch {

namespace {

    std::uint32_t vmsInRegion(const vm_settings& settings)
    {
        return static_cast<std::uint32_t>(std::count_if(settings.vms.begin(), settings.vms.end(),
            [&settings](const vm_record& vm) { return vm.region == settings.self.region; }));
    }

} // namespace

absl::StatusOr<std::unique_ptr<slot_service>> slot_service::create(
    const kernel_hooks& hooks, const vm_settings& settings, slot_options options)
{
    return std::unique_ptr<slot_service>(new slot_service(hooks, settings, options));
}

slot_service::slot_service(const kernel_hooks& hooks, const vm_settings& settings, slot_options options)
    : m_hooks(hooks)
    , m_settings(settings)
    , m_options(options)
    , m_quality(options.quality)
    , m_links(settings.self.region, vmsInRegion(settings), options.enforcesLinkBudgets)
    , m_host(hooks, settings, options.host)
    , m_allocatorClient({ m_hooks, m_settings.self.region, m_table, m_quality, m_queue }, options.allocatorClient)
{
    m_port.acquire = [this](slot_request request, std::function<void(slot_answer)> answer) {
        return acquire(std::move(request), std::move(answer));
    };
    m_port.cancelWait = [this](slot_ticket ticket) { cancelWait(ticket); };
    m_port.release = [this](slot_handle handle, const slot_result& result) { release(handle, result); };
    m_measurementPort.take = [this] { return m_measurements.take(); };
}

service slot_service::asService()
{
    service item;
    item.name = port_names::slots;
    item.dependencies = { port_names::control, port_names::membership, port_names::directory, port_names::shifts,
        port_names::peerRouter, port_names::upstreams };
    item.start = [this](registry& services) { return start(services); };
    item.stop = [this](std::function<void()> stopped) { stop(std::move(stopped)); };
    item.dump = [this] { return dump(); };
    return item;
}

absl::Status slot_service::start(registry& services)
{
    const auto control = services.find<control_port>(port_names::control);
    const auto membership = services.find<membership_port>(port_names::membership);
    const auto liveness = services.find<liveness_port>(port_names::liveness);
    const auto shifts = services.find<shift_port>(port_names::shifts);
    const auto router = services.find<peer_router>(port_names::peerRouter);
    const auto upstreams = services.find<upstream_port>(port_names::upstreams);
    for (const absl::Status& status : { control.status(), membership.status(), liveness.status(), shifts.status(),
             router.status(), upstreams.status() }) {
        if (!status.ok())
            return status;
    }
    m_control = *control;
    m_membership = *membership;
    m_shifts = *shifts;
    m_router = *router;
    m_host.start({ m_control, m_membership, *liveness, *upstreams,
        [this](const addressed_grant& grant) { m_router->send(grant.to, slot_message(grant.grant)); } });
    m_router->subscribeSlots([this](const vm_id& from, const slot_message& message) { onMessage(from, message); });
    std::function<void(const vm_id&, slot_report)> sendReport;
    if (m_options.mode == slot_mode::Leased)
        sendReport
            = [this](const vm_id& to, slot_report report) { m_router->send(to, slot_message(std::move(report))); };
    m_allocatorClient.start(m_membership->start(), std::move(sendReport));
    m_control->onSteeringChange([this](const steering_change&) { applyControlState(); });
    applyControlState();
    absl::Status status = services.publish(port_names::measurements, m_measurementPort);
    status.Update(services.publish(port_names::slots, m_port));
    return status;
}

void slot_service::stop(std::function<void()> stopped)
{
    internal_assert(m_queue.services().empty()) << "requests still wait for slots when the service stops";
    m_onIdle = [this, stopped = std::move(stopped)] {
        finishStop();
        stopped();
    };
    if (m_slotsInUse.empty()) {
        std::exchange(m_onIdle, nullptr)();
        return;
    }
    m_stopTimer = m_hooks.schedule(m_options.stopTimeout, [this] {
        m_membership->markUnfinishedWork();
        std::exchange(m_onIdle, nullptr)();
    });
}

void slot_service::finishStop()
{
    m_hooks.cancel(m_stopTimer);
    m_allocatorClient.stop();
    m_stopped = true;
    m_hooks.cancel(m_expiryTimer);
    for (const auto& [service, timer] : m_spilloverTimers)
        m_hooks.cancel(timer);
    m_host.stop();
}

void slot_service::applyControlState()
{
    const time_point now = m_hooks.now();
    const control_snapshot& state = m_control->state();
    m_table = makeUpstreamTable(state);
    m_links.setLinks(state.config, now);
    std::set<upstream_id> known;
    for (const auto& [id, upstream] : m_table.upstreams)
        known.insert(id);
    m_quality.keepOnly(known);
    if (m_options.mode == slot_mode::Uncoordinated) {
        grantFullCapacity();
    } else {
        m_host.applyControlState(m_table);
        m_allocatorClient.setAllocators(m_control->state().allocators);
    }
    serveWaiting();
}

void slot_service::grantFullCapacity()
{
    for (const auto& [id, upstream] : m_table.upstreams) {
        const region_id& region = upstream.announcement.region;
        slot_holdings& holdings = m_allocatorClient.holdingsOf(region);
        if (!holdings.allocator())
            holdings.setAllocator({ m_settings.self.id, m_membership->start(), allocator_epoch(1) });
    }
    for (auto& [region, holdings] : m_allocatorClient.holdings()) {
        slot_grant grant;
        const slot_report report = holdings.makeReport(m_hooks.now(), std::nullopt);
        grant.epoch = report.epoch;
        grant.holder = report.start;
        grant.sequence = report.sequence;
        grant.revision = 1;
        grant.lease = std::chrono::hours(1);
        for (const auto& [id, upstream] : m_table.upstreams) {
            if (upstream.announcement.region == region && upstream.capacity > 0)
                grant.granted.push_back({ id, upstream.announcement.generation, upstream.capacity });
        }
        holdings.applyGrant(grant);
    }
}

slot_picker_view slot_service::view()
{
    return { m_settings.self.region, &m_table, &m_allocatorClient.holdings(), &m_quality, &m_links, m_hooks.random };
}

bool slot_service::anyUsable(const service_id& service, bool localOnly) const
{
    const auto members = m_table.byService.find(service);
    if (members == m_table.byService.end())
        return false;
    return std::any_of(members->second.begin(), members->second.end(), [&](const upstream_id& id) {
        const usable_upstream& upstream = m_table.upstreams.at(id);
        return upstream.capacity > 0 && (!localOnly || upstream.announcement.region == m_settings.self.region);
    });
}

bool slot_service::wouldMissDeadline(const slot_request& request, time_point now) const
{
    const duration averageLatency = m_quality.serviceLatency(request.service);
    std::uint32_t held = 0;
    for (const auto& [region, holdings] : m_allocatorClient.holdings()) {
        for (const auto& [id, item] : holdings.holdings()) {
            const usable_upstream* upstream = m_table.find(id);
            held += upstream != nullptr && upstream->announcement.service == request.service ? item.count : 0;
        }
    }
    if (!m_options.refusesEarly || held == 0 || averageLatency == duration::zero())
        return false;
    const duration wait = averageLatency * (m_queue.waiting(request.service) + 1) / held;
    return now + wait + averageLatency > request.deadline;
}

slot_ticket slot_service::acquire(slot_request request, std::function<void(slot_answer)> answer)
{
    const time_point now = m_hooks.now();
    if (!anyUsable(request.service, false)) {
        ++m_counters.refused;
        answer({ std::nullopt, slot_refusal::NoUpstream });
        return {};
    }
    const domain_choice domain = drawDomain(view(), m_control->state().config, *m_shifts, request.service);
    slot_waiter waiter { slot_ticket(++m_lastTicket), std::move(request), now, domain.failureDomain,
        std::move(answer) };
    if (domain.shift) {
        // Requests slots for later requests from the target's allocator; this request can only use a slot that is
        // already held.
        const region_id target = regionOf(m_control->state().config, domain.failureDomain);
        m_allocatorClient.requestInDomain(target, waiter.request.service, domain.failureDomain);
    }
    const service_id service = waiter.request.service;
    if (m_queue.waiting(service) == 0) {
        if (std::optional<held_slot> slot = tryTake(waiter, now)) {
            waiter.answer({ std::move(slot), {} });
            return {};
        }
    }
    if (m_queue.waiting(service) >= m_options.maximumQueueLength || wouldMissDeadline(waiter.request, now)) {
        refuse(waiter, slot_refusal::Overloaded);
        return {};
    }
    // The charge to the shift's rate cap is valid only for an immediate dispatch, so a queued request goes back to the
    // shift's source failure domain.
    if (domain.shift)
        waiter.preferred = sourceOf(*domain.shift);
    ++m_counters.waited;
    const slot_ticket ticket = waiter.ticket;
    m_queue.push(std::move(waiter));
    armExpiryTimer();
    armSpilloverTimer(service);
    m_allocatorClient.reportIfDemandGrew(service);
    return ticket;
}

failure_domain_id slot_service::sourceOf(const shift_id& shift) const
{
    const auto& shifts = m_control->state().config.shifts;
    const auto found = shifts.find(shift);
    return found == shifts.end() ? failure_domain_id() : found->second.from;
}

void slot_service::refuse(const slot_waiter& waiter, slot_refusal reason)
{
    ++m_counters.refused;
    waiter.answer({ std::nullopt, reason });
}

std::optional<held_slot> slot_service::tryTake(const slot_waiter& waiter, time_point now)
{
    upstream_criteria criteria { waiter.request.service, waiter.request.avoid, waiter.request.bodySize,
        waiter.preferred, false };
    criteria.allowOtherRegions = now - waiter.queuedAt >= spilloverWait(waiter.request.service);
    const usable_upstream* upstream = pickUpstream(view(), criteria, now);
    if (upstream == nullptr)
        return std::nullopt;
    return take(*upstream);
}

held_slot slot_service::take(const usable_upstream& upstream)
{
    const region_id& region = upstream.announcement.region;
    slot_holdings& holdings = m_allocatorClient.holdingsOf(region);
    holdings.take(upstream.announcement.id);
    const slot_handle handle(++m_lastHandle);
    m_slotsInUse[handle] = { upstream.announcement, false };
    ++m_counters.given;
    m_counters.spilledOver += region == m_settings.self.region ? 0 : 1;
    return { handle, upstream.announcement, holdings.leaseUntil() };
}

void slot_service::cancelWait(slot_ticket ticket) { m_queue.remove(ticket); }

void slot_service::release(slot_handle handle, const slot_result& result)
{
    const auto found = m_slotsInUse.find(handle);
    internal_assert(found != m_slotsInUse.end() && !found->second.settling)
        << "slot handle " << handle.value() << " is released twice";
    const time_point now = m_hooks.now();
    const upstream_announcement upstream = found->second.upstream;
    m_measurements.note(upstream, result);
    if (m_quality.note(upstream, result, now))
        m_allocatorClient.holdingsOf(upstream.region).countWarmAnswer(upstream.id, upstream.generation);
    if (upstream.region != m_settings.self.region)
        m_links.chargeAnswer(upstream.region, result.answerSize, now);
    if (result.busyUntil && *result.busyUntil > now) {
        found->second.settling = true;
        m_hooks.schedule(*result.busyUntil - now, [this, handle] { freeSlot(handle); });
        return;
    }
    freeSlot(handle);
}

void slot_service::freeSlot(slot_handle handle)
{
    const auto found = m_slotsInUse.find(handle);
    internal_assert(found != m_slotsInUse.end()) << "slot handle " << handle.value() << " is freed twice";
    const upstream_announcement upstream = found->second.upstream;
    m_slotsInUse.erase(found);
    if (m_stopped)
        return;
    slot_holdings& holdings = m_allocatorClient.holdingsOf(upstream.region);
    holdings.free(upstream.id, upstream.generation, m_hooks.now());
    const auto item = holdings.holdings().find(upstream.id);
    if (item != holdings.holdings().end() && item->second.recalled > 0)
        m_allocatorClient.reportSoon(upstream.region);
    serveFront(upstream.service, m_hooks.now());
    if (m_slotsInUse.empty() && m_onIdle)
        std::exchange(m_onIdle, nullptr)();
}

bool slot_service::serveFront(const service_id& service, time_point now)
{
    const slot_waiter* front = m_queue.front(service);
    if (front == nullptr)
        return false;
    std::optional<held_slot> slot = tryTake(*front, now);
    if (!slot)
        return false;
    const std::optional<slot_waiter> waiter = m_queue.remove(front->ticket);
    waiter->answer({ std::move(slot), {} });
    return true;
}

void slot_service::serveWaiting()
{
    const time_point now = m_hooks.now();
    for (const slot_waiter& waiter : m_queue.removeExpired(now))
        refuse(waiter, slot_refusal::Overloaded);
    for (const service_id& service : m_queue.services()) {
        while (serveFront(service, now)) { }
    }
}

void slot_service::armExpiryTimer()
{
    const std::optional<time_point> next = m_queue.nextDeadline();
    if (!next || (m_expiryAt && *m_expiryAt <= *next))
        return;
    m_hooks.cancel(m_expiryTimer);
    m_expiryAt = next;
    m_expiryTimer = m_hooks.schedule(*next - m_hooks.now(), [this] {
        m_expiryAt.reset();
        serveWaiting();
        armExpiryTimer();
    });
}

duration slot_service::spilloverWait(const service_id& service) const
{
    if (!anyUsable(service, true))
        return duration::zero();
    return std::max(m_options.spilloverDelay, m_quality.serviceLatency(service) * m_options.spilloverLatencyFactor);
}

void slot_service::armSpilloverTimer(const service_id& service)
{
    if (m_spilloverTimers.contains(service))
        return;
    const duration delay = spilloverWait(service);
    m_spilloverTimers[service] = m_hooks.schedule(delay, [this, service] { spillOver(service); });
}

void slot_service::spillOver(const service_id& service)
{
    m_spilloverTimers.erase(service);
    const time_point now = m_hooks.now();
    const duration wait = spilloverWait(service);
    const std::uint32_t count = m_queue.waitingSince(service, now - wait);
    m_allocatorClient.cancelSlotRequests(service);
    serveWaiting();
    if (m_queue.waiting(service) == 0)
        return;
    const std::vector<region_id> others = m_allocatorClient.otherRegions();
    if (count > 0 && !others.empty())
        m_allocatorClient.requestSlots(others[m_spilloverRotation[service]++ % others.size()], service, count);
    m_spilloverTimers[service] = m_hooks.schedule(m_options.spilloverInterval, [this, service] { spillOver(service); });
}

void slot_service::onMessage(const vm_id& from, const slot_message& message)
{
    if (m_stopped)
        return;
    if (const auto* report = std::get_if<slot_report>(&message))
        m_host.report(from, *report);
    else
        onGrant(std::get<slot_grant>(message));
}

void slot_service::onGrant(const slot_grant& grant)
{
    if (!m_allocatorClient.applyGrant(grant))
        return;
    serveWaiting();
    m_allocatorClient.scheduleNextReport(grant);
}

state_dump slot_service::dump() const
{
    state_dump shown(port_names::slots);
    shown.add("given", m_counters.given);
    shown.add("waited", m_counters.waited);
    shown.add("refused", m_counters.refused);
    shown.add("left_region", m_counters.spilledOver);
    shown.add("reports", m_allocatorClient.reportsSent());
    shown.add("grants", m_allocatorClient.grantsApplied());
    shown.add("in_use", static_cast<std::uint64_t>(m_slotsInUse.size()));
    state_dump& regions = shown.addObject("regions");
    for (const auto& [region, holdings] : m_allocatorClient.holdings())
        regions.children.push_back(holdings.dump(m_hooks.now()));
    shown.children.push_back(m_host.dump());
    return shown;
}

} // namespace plantainlatch
