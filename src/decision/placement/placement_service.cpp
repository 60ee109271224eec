#include "decision/placement/placement_service.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "core/internal_assert.h"
#include "decision/control/apply_drain.h"
#include "decision/entries/known_entries.h"
#include "ports/port_names.h"

namespace plantainlatch {

namespace {

    /** An upstream is avoided when it fails this part of its requests, and so much more than the service's mean: where
     * all fail alike, leaving some out only overloads the others. */
    constexpr double leastAvoidedShare = 0.25;
    constexpr double outlierFactor = 1.5;
    constexpr double outlierMargin = 0.1;
    constexpr duration judgeInterval = std::chrono::milliseconds(100);

    std::string_view nameOf(object_state state)
    {
        switch (state) {
        case object_state::Known:
            return "known";
        case object_state::Likely:
            return "likely";
        case object_state::Unknown:
            return "unknown";
        }
        internal_assert(false) << "object state " << static_cast<int>(state);
        return "";
    }

    bool contains(const std::vector<upstream_id>& items, const upstream_id& wanted)
    {
        return std::find(items.begin(), items.end(), wanted) != items.end();
    }

} // namespace

absl::StatusOr<std::unique_ptr<placement_service>> placement_service::create(
    const kernel_hooks& hooks, const vm_settings& settings, placement_options options)
{
    if (options.compared == 0)
        return absl::InvalidArgumentError("at least one upstream must be looked at");
    return std::unique_ptr<placement_service>(new placement_service(hooks, settings, options));
}

placement_service::placement_service(const kernel_hooks& hooks, const vm_settings& settings, placement_options options)
    : m_hooks(hooks)
    , m_self(settings.self.id)
    , m_region(settings.self.region)
    , m_options(options)
{
    m_port.acquire = [this](const slot_request& request, const std::function<void(slot_answer)>& done) {
        return acquire(request, done);
    };
    m_port.cancelWait = [](slot_ticket) {};
    m_port.release = [this](slot_handle handle, const slot_result& result) { release(handle, result); };
}

service placement_service::asService()
{
    service item;
    item.name = port_names::slots;
    item.dependencies = { port_names::control, port_names::upstreams };
    item.start = [this](registry& services) { return start(services); };
    item.dump = [this] { return dump(); };
    return item;
}

absl::Status placement_service::start(registry& services)
{
    m_control = *services.find<control_port>(port_names::control);
    m_upstreams = *services.find<upstream_port>(port_names::upstreams);
    m_control->onSteeringChange([this] { follow(); });
    follow();
    return services.publish(port_names::slots, m_port);
}

void placement_service::follow()
{
    const control_snapshot& state = m_control->state();
    for (const auto& [id, record] : state.directory) {
        const auto former = m_known.find(id);
        if (former == m_known.end() || !(former->second.announcement == record.announcement))
            noteJoin(record.announcement);
    }
    for (const auto& [id, record] : m_known) {
        if (state.directory.contains(id))
            continue;
        m_upstreams->closeIdleConnections(record.announcement.address);
        m_standings.erase(id);
    }
    m_known = state.directory;
    noteEndedDrains();
    m_entries = knownEntries(state);
    m_orders.clear();
}

void placement_service::noteJoin(const upstream_announcement& upstream)
{
    const auto former = m_known.find(upstream.id);
    const bool isNewStart = former == m_known.end() || former->second.announcement.generation != upstream.generation;
    if (isNewStart)
        m_standings[upstream.id] = {};
    if (upstream.coldFor > duration::zero())
        m_standings[upstream.id].coolUntil(m_hooks.now() + upstream.coldFor);
    else
        m_standings[upstream.id].setColdUntil(m_hooks.now());
}

void placement_service::noteEndedDrains()
{
    const control_snapshot& state = m_control->state();
    for (const drain_target& target : m_drains) {
        if (state.drains.contains(target) || target.kind != drain_kind::FailureDomain)
            continue;
        // Upstreams that had no work for a while may have gone cold without saying so yet.
        for (const auto& [id, record] : m_known) {
            const auto service = state.config.services.find(record.announcement.service);
            if (record.announcement.failureDomain.value() == target.name && service != state.config.services.end())
                m_standings[id].coolUntil(m_hooks.now() + service->second.coldTime);
        }
    }
    m_drains = state.drains;
}

std::map<region_id, double> placement_service::demand(const order_key& key) const
{
    // Callers are taken to be spread evenly over the failure domains.
    std::map<region_id, double> shares;
    double domains = 0;
    for (const auto& [region, definition] : m_control->state().config.regions) {
        const auto count = static_cast<double>(definition.failureDomains.size());
        domains += count;
        shares[region] = count;
    }
    for (auto& [region, share] : shares)
        share = domains > 0 ? share / domains : 0;
    if (!key.allowed.empty()) {
        std::erase_if(shares, [&key](const auto& item) {
            return std::find(key.allowed.begin(), key.allowed.end(), item.first) == key.allowed.end();
        });
    }
    return shares;
}

placement_service::ranked_service& placement_service::orderFor(const order_key& key)
{
    const auto found = m_orders.find(key);
    if (found != m_orders.end())
        return found->second;
    std::vector<upstream_announcement> fit;
    for (const auto& [id, record] : m_known) {
        const upstream_announcement& upstream = record.announcement;
        const bool allowed = key.allowed.empty()
            || std::find(key.allowed.begin(), key.allowed.end(), upstream.region) != key.allowed.end();
        const bool draining = upstream.draining || isUpstreamDraining(m_control->state(), upstream);
        if (upstream.service == key.service && allowed && !draining)
            fit.push_back(upstream);
    }
    return m_orders.emplace(key, ranked_service { home_order(std::move(fit), m_region, demand(key)) }).first->second;
}

double placement_service::toleratedFailures(ranked_service& service)
{
    const time_point now = m_hooks.now();
    if (service.toleratedFailures > 0 && now < service.judgedAt + judgeInterval)
        return service.toleratedFailures;
    const std::vector<const upstream_announcement*> upstreams = service.homes.all();
    double total = 0;
    for (const upstream_announcement* upstream : upstreams)
        total += m_standings[upstream->id].failureShare();
    const double mean = upstreams.empty() ? 0 : total / static_cast<double>(upstreams.size());
    service.judgedAt = now;
    service.toleratedFailures = std::max(leastAvoidedShare, mean * outlierFactor + outlierMargin);
    return service.toleratedFailures;
}

bool placement_service::mayPassCold(const upstream_announcement& upstream, upstream_standing& standing)
{
    const time_point now = m_hooks.now();
    if (!standing.isCold(now))
        return true;
    const auto& services = m_control->state().config.services;
    const auto service = services.find(upstream.service);
    if (service == services.end())
        return false;
    const double total = service->second.coldRate * m_options.cold.factor + m_options.cold.slack;
    return standing.gate().pass(coldShare(total, m_entries, m_self, upstream.id), now);
}

placement_service::choice placement_service::weigh(
    const slot_request& request, const upstream_announcement& upstream, std::uint64_t object, bool isHome)
{
    const time_point now = m_hooks.now();
    const upstream_standing& standing = m_standings[upstream.id];
    choice weighed;
    weighed.upstream = &upstream;
    if (!standing.isCold(now) && standing.remembers(object, now))
        weighed.state = object_state::Known;
    else if (!standing.isCold(now) && isHome)
        weighed.state = object_state::Likely;
    const duration usual = m_latencies.expected(request.policy.route, weighed.state, request.policy.targetLatency);
    weighed.work = scaled(usual, standing.slowness(now));
    const auto slots = static_cast<std::uint32_t>(std::max<std::uint64_t>(1, upstream.slots.value()));
    const std::uint32_t load = standing.load(now);
    weighed.load = load;
    weighed.queued = load >= slots;
    weighed.total = weighed.work;
    if (weighed.queued)
        weighed.total += scaled(weighed.work, static_cast<double>(load - slots + 1) / slots);
    if (upstream.region != m_region)
        weighed.total += m_options.farPenalty;
    weighed.cost
        = weighed.state == object_state::Unknown ? scaled(weighed.total, m_options.unknownFactor) : weighed.total;
    return weighed;
}

placement_service::choice placement_service::choose(
    const slot_request& request, std::uint64_t object, bool evenAvoided, left_out& without)
{
    const time_point now = m_hooks.now();
    ranked_service& service = orderFor({ request.service, request.policy.allowedRegions });
    const double tolerated = toleratedFailures(service);
    std::vector<choice> compared;
    bool isHome = true;
    for (const upstream_announcement* upstream : service.homes.of(object)) {
        upstream_standing& standing = m_standings[upstream->id];
        if (contains(request.avoid, upstream->id))
            continue;
        if (standing.isShunned(now)) {
            ++without.shunned;
            continue;
        }
        if (!evenAvoided && standing.avoids(tolerated, now)) {
            ++without.avoided;
            continue;
        }
        compared.push_back(weigh(request, *upstream, object, isHome));
        isHome = false;
        if (compared.size() >= m_options.compared)
            break;
    }
    std::stable_sort(compared.begin(), compared.end(),
        [](const choice& left, const choice& right) { return left.cost < right.cost; });
    for (const choice& item : compared) {
        if (mayPassCold(*item.upstream, m_standings[item.upstream->id]))
            return item;
        ++without.cold;
    }
    return {};
}

slot_ticket placement_service::acquire(const slot_request& request, const std::function<void(slot_answer)>& done)
{
    const std::uint64_t object = request.policy.object.empty() ? m_hooks.random() : objectNumber(request.policy.object);
    left_out without;
    choice chosen = choose(request, object, false, without);
    if (chosen.upstream == nullptr)
        chosen = choose(request, object, true, without);
    slot_answer answer;
    answer.inputs = inputsOf(request, chosen, without);
    const bool isEmpty = orderFor({ request.service, request.policy.allowedRegions }).homes.empty();
    answer.refusal = isEmpty ? slot_refusal::NoUpstream : slot_refusal::Overloaded;
    const bool inTime = chosen.upstream != nullptr && chosen.total < patienceOf(request);
    if (!inTime) {
        ++m_refused;
        done(answer);
        return {};
    }
    ++m_placed;
    const slot_handle handle(++m_lastHandle);
    m_held.emplace(handle,
        held_place { chosen.upstream->id, request.policy.route, object, chosen.state, chosen.work, chosen.queued });
    m_standings[chosen.upstream->id].begin();
    answer.slot = held_slot { handle, *chosen.upstream, request.deadline };
    done(answer);
    return {};
}

duration placement_service::patienceOf(const slot_request& request) const
{
    const duration left = request.deadline - m_hooks.now();
    const bool urgent = request.policy.priority < m_options.leastUrgent;
    if (urgent || request.policy.targetLatency <= duration::zero())
        return left;
    return std::min(left, scaled(request.policy.targetLatency, m_options.patience));
}

std::vector<log_field> placement_service::inputsOf(
    const slot_request& request, const choice& chosen, const left_out& without)
{
    const auto milliseconds = [](duration span) {
        return absl::StrCat(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
    };
    std::vector<log_field> inputs { { "configuration", absl::StrCat(m_control->state().config.number.value()) },
        { "patience_ms", milliseconds(patienceOf(request)) } };
    if (without.shunned + without.avoided + without.cold > 0)
        inputs.push_back({ "left_out",
            absl::StrCat("shunned ", without.shunned, ", avoided ", without.avoided, ", cold ", without.cold) });
    if (chosen.upstream == nullptr)
        return inputs;
    const upstream_standing& standing = m_standings[chosen.upstream->id];
    inputs.push_back({ "best", chosen.upstream->id.value() });
    inputs.push_back({ "object", std::string(nameOf(chosen.state)) });
    inputs.push_back({ "load", absl::StrCat(chosen.load) });
    inputs.push_back({ "slowness", absl::StrFormat("%.1f", standing.slowness(m_hooks.now())) });
    inputs.push_back({ "expected_ms", milliseconds(chosen.total) });
    return inputs;
}

void placement_service::release(slot_handle handle, const slot_result& result)
{
    const auto found = m_held.find(handle);
    internal_assert(found != m_held.end()) << "place " << handle.value() << " is released twice";
    const held_place place = found->second;
    m_held.erase(found);
    const auto standing = m_standings.find(place.upstream);
    if (standing == m_standings.end())
        return;
    const bool tells = !place.queued && place.state != object_state::Likely;
    standing->second.end(result, place.object, tells ? place.expected : duration::zero(), m_hooks.now());
    if (result.ended == slot_result::kind::Answered && !place.queued)
        m_latencies.observe(place.route, place.state, result.latency);
}

state_dump placement_service::dump() const
{
    state_dump shown(port_names::slots);
    shown.add("placed", m_placed);
    shown.add("refused", m_refused);
    state_dump& upstreams = shown.addObject("own_requests");
    for (const auto& [id, standing] : m_standings)
        upstreams.add(id.value(), static_cast<std::uint64_t>(standing.ownRequests()));
    state_dump& cold = shown.addObject("sent_to_cold");
    for (const auto& [id, standing] : m_standings) {
        if (standing.isCold(m_hooks.now()))
            cold.add(id.value(), static_cast<std::uint64_t>(standing.gate().passed(m_hooks.now())));
    }
    return shown;
}

} // namespace plantainlatch
