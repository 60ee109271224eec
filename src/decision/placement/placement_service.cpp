#include "decision/placement/placement_service.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "core/internal_assert.h"
#include "decision/control/apply_drain.h"
#include "decision/entries/known_entries.h"
#include "decision/placement/return_time.h"
#include "ports/port_names.h"

namespace plantainlatch {

namespace {

    /** An upstream is an outlier when its failure rate reaches both this minimum and the service's mean rate times the
     * factor plus the margin. The comparison with the mean matters when all upstreams fail at a similar rate: excluding
     * some of them would only overload the others. */
    constexpr double minimumOutlierRate = 0.25;
    constexpr double outlierFactor = 1.5;
    constexpr double outlierMargin = 0.1;
    constexpr duration thresholdInterval = std::chrono::milliseconds(100);

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

    std::string milliseconds(duration span)
    {
        return absl::StrCat(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
    }

    bool contains(const std::vector<upstream_id>& items, const upstream_id& wanted)
    {
        return std::find(items.begin(), items.end(), wanted) != items.end();
    }

} // namespace

absl::StatusOr<std::unique_ptr<placement_service>> placement_service::create(
    const kernel_hooks& hooks, const vm_settings& settings, placement_options options)
{
    if (options.maximumCandidates == 0)
        return absl::InvalidArgumentError("maximumCandidates must be at least 1");
    return std::unique_ptr<placement_service>(new placement_service(hooks, settings, options));
}

placement_service::placement_service(const kernel_hooks& hooks, const vm_settings& settings, placement_options options)
    : m_hooks(hooks)
    , m_self(settings.self.id)
    , m_region(settings.self.region)
    , m_options(options)
    , m_bytesInFlight(options.bytesInFlight)
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
    m_control->onSteeringChange([this](const steering_change& change) { onControlChange(change); });
    onControlChange({});
    return services.publish(port_names::slots, m_port);
}

void placement_service::onControlChange(const steering_change& change)
{
    const control_snapshot& state = m_control->state();
    if (change.scope == steering_scope::Upstreams) {
        for (const upstream_id& id : change.upstreams) {
            copyRecord(id);
            updateOrders(id);
        }
        return;
    }
    m_entries = knownEntries(state);
    if (change.scope == steering_scope::Vms)
        return;
    std::vector<upstream_id> removed;
    for (const auto& [id, record] : m_directory) {
        if (!state.directory.contains(id))
            removed.push_back(id);
    }
    for (const auto& [id, record] : state.directory)
        copyRecord(id);
    for (const upstream_id& id : removed)
        copyRecord(id);
    markColdAfterDrains();
    m_orders.clear();
}

void placement_service::copyRecord(const upstream_id& id)
{
    const auto former = m_directory.find(id);
    const auto current = m_control->state().directory.find(id);
    if (current != m_control->state().directory.end()) {
        const upstream_announcement& announcement = current->second.announcement;
        if (former == m_directory.end() || !(former->second.announcement == announcement))
            noteAnnouncement(announcement);
        m_directory.insert_or_assign(id, current->second);
    } else if (former != m_directory.end()) {
        m_upstreams->closeIdleConnections(former->second.announcement.address);
        m_stats.erase(id);
        m_directory.erase(former);
    }
}

void placement_service::updateOrders(const upstream_id& id)
{
    const auto known = m_directory.find(id);
    for (auto& [key, service] : m_orders) {
        if (known != m_directory.end() && isEligible(key, known->second.announcement))
            service.order.put(known->second.announcement);
        else
            service.order.remove(id);
    }
}

bool placement_service::isEligible(const order_key& key, const upstream_announcement& upstream) const
{
    const bool allowed = key.allowed.empty()
        || std::find(key.allowed.begin(), key.allowed.end(), upstream.region) != key.allowed.end();
    const bool draining = upstream.draining || m_unavailability.isDraining(upstream.id, upstream.generation)
        || isUpstreamDraining(m_control->state(), upstream);
    return upstream.service == key.service && allowed && !draining;
}

void placement_service::noteAnnouncement(const upstream_announcement& upstream)
{
    const auto former = m_directory.find(upstream.id);
    const bool isNewStart
        = former == m_directory.end() || former->second.announcement.generation != upstream.generation;
    if (isNewStart)
        m_stats[upstream.id] = {};
    if (upstream.coldFor > duration::zero())
        m_stats[upstream.id].extendColdUntil(m_hooks.now() + upstream.coldFor);
    else
        m_stats[upstream.id].setColdUntil(m_hooks.now());
}

void placement_service::markColdAfterDrains()
{
    const control_snapshot& state = m_control->state();
    for (const drain_target& target : m_drains) {
        if (state.drains.contains(target) || target.kind != drain_kind::FailureDomain)
            continue;
        // The upstreams received no requests during the drain, so they may have become cold and not reported it yet.
        for (const auto& [id, record] : m_directory) {
            const auto service = state.config.services.find(record.announcement.service);
            if (record.announcement.failureDomain.value() == target.name && service != state.config.services.end())
                m_stats[id].extendColdUntil(m_hooks.now() + service->second.coldTime);
        }
    }
    m_drains = state.drains;
}

std::map<region_id, double> placement_service::demand(const order_key& key) const
{
    // Assumes that the callers are spread evenly over the failure domains.
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

placement_service::service_order& placement_service::orderFor(const order_key& key)
{
    const auto found = m_orders.find(key);
    if (found != m_orders.end())
        return found->second;
    ++m_ordersComputed;
    affinity_order order(m_region, demand(key));
    for (const auto& [id, record] : m_directory) {
        if (isEligible(key, record.announcement))
            order.put(record.announcement);
    }
    return m_orders.emplace(key, service_order { std::move(order) }).first->second;
}

double placement_service::outlierThreshold(service_order& service)
{
    const time_point now = m_hooks.now();
    if (service.outlierThreshold > 0 && now < service.thresholdAt + thresholdInterval)
        return service.outlierThreshold;
    const std::vector<const upstream_announcement*> upstreams = service.order.all();
    double total = 0;
    for (const upstream_announcement* upstream : upstreams)
        total += m_stats[upstream->id].failureRate();
    const double mean = upstreams.empty() ? 0 : total / static_cast<double>(upstreams.size());
    service.thresholdAt = now;
    service.outlierThreshold = std::max(minimumOutlierRate, mean * outlierFactor + outlierMargin);
    return service.outlierThreshold;
}

std::size_t placement_service::coldLimit(const upstream_announcement& upstream) const
{
    const auto& services = m_control->state().config.services;
    const auto service = services.find(upstream.service);
    if (service == services.end())
        return 0;
    const double total = service->second.coldRate * m_options.cold.factor + m_options.cold.slack;
    return coldShare(total, m_entries, m_self, upstream.id);
}

bool placement_service::isUsable(
    const slot_request& request, const upstream_announcement& upstream, bool isOutlier, excluded_counts& excluded)
{
    const time_point now = m_hooks.now();
    const upstream_stats& stats = m_stats[upstream.id];
    if (contains(request.avoid, upstream.id))
        return false;
    if (remainingPause(upstream) > duration::zero()) {
        ++excluded.paused;
        return false;
    }
    if (stats.isEjected(now)) {
        ++excluded.ejected;
        return false;
    }
    if (isOutlier && !stats.isProbeDue(now)) {
        ++excluded.outliers;
        return false;
    }
    if (stats.isCold(now) && stats.coldLimiter().admitted(now) >= coldLimit(upstream)) {
        ++excluded.cold;
        return false;
    }
    if (!m_bytesInFlight.hasRoomFor(upstream.id, request.bodySize)) {
        ++excluded.full;
        return false;
    }
    return true;
}

void placement_service::admit(const candidate& chosen)
{
    const time_point now = m_hooks.now();
    upstream_stats& stats = m_stats[chosen.upstream->id];
    if (chosen.isProbe)
        stats.noteProbe(now);
    if (!stats.isCold(now))
        return;
    const bool admitted = stats.coldLimiter().tryAcquire(coldLimit(*chosen.upstream), now);
    internal_assert(admitted) << "cold upstream " << chosen.upstream->id.value() << " was chosen above its rate";
}

placement_service::candidate placement_service::evaluate(
    const slot_request& request, const upstream_announcement& upstream, std::uint64_t object, bool isHome)
{
    const time_point now = m_hooks.now();
    const upstream_stats& stats = m_stats[upstream.id];
    candidate evaluated;
    evaluated.upstream = &upstream;
    if (!stats.isCold(now) && stats.hasHandled(object, now))
        evaluated.state = object_state::Known;
    else if (!stats.isCold(now) && isHome)
        evaluated.state = object_state::Likely;
    const duration expectedLatency
        = m_latencies.expected(request.policy.route, evaluated.state, request.policy.targetLatency, now);
    evaluated.runTime = scaled(expectedLatency, stats.slowness(now));
    const auto slots = static_cast<std::uint32_t>(std::max<std::uint64_t>(1, upstream.slots.value()));
    const std::uint32_t load = stats.load(now);
    evaluated.load = load;
    evaluated.queued = load >= slots;
    evaluated.total = evaluated.runTime + stats.slowMachineDelay(evaluated.runTime, now);
    if (evaluated.queued)
        evaluated.total += scaled(evaluated.runTime, static_cast<double>(load - slots + 1) / slots);
    if (upstream.region != m_region)
        evaluated.total += m_options.crossRegionPenalty;
    evaluated.inTime = evaluated.total < timeLimit(request);
    evaluated.cost = evaluated.state == object_state::Unknown ? scaled(evaluated.total, m_options.unknownCostFactor)
                                                              : evaluated.total;
    return evaluated;
}

placement_service::candidate placement_service::choose(
    const slot_request& request, std::uint64_t object, bool includeOutliers, excluded_counts& excluded)
{
    excluded = {};
    service_order& service = orderFor({ request.service, request.policy.allowedRegions });
    const double threshold = outlierThreshold(service);
    candidate best;
    std::size_t compared = 0;
    affinity_walk walk = service.order.walk(object);
    while (const upstream_announcement* upstream = walk.next()) {
        const bool isOutlier = !includeOutliers && m_stats[upstream->id].failureRate() >= threshold;
        if (!isUsable(request, *upstream, isOutlier, excluded))
            continue;
        candidate item = evaluate(request, *upstream, object, compared == 0);
        item.isProbe = isOutlier;
        if (best.upstream == nullptr || item.cost < best.cost)
            best = item;
        ++compared;
        if (compared >= m_options.maximumCandidates)
            break;
    }
    return best;
}

slot_ticket placement_service::acquire(const slot_request& request, const std::function<void(slot_answer)>& done)
{
    const std::uint64_t object = request.policy.object.empty() ? m_hooks.random() : objectHash(request.policy.object);
    excluded_counts excluded;
    candidate chosen = choose(request, object, false, excluded);
    if (chosen.upstream == nullptr)
        chosen = choose(request, object, true, excluded);
    slot_answer answer;
    answer.inputs = inputsOf(request, chosen, excluded);
    const affinity_order& order = orderFor({ request.service, request.policy.allowedRegions }).order;
    answer.refusal = order.empty() ? slot_refusal::NoUpstream : slot_refusal::Overloaded;
    if (!chosen.inTime) {
        ++m_refused;
        if (excluded.paused > 0)
            answer.retryAfter = pauseOfAll(order);
        if (!answer.retryAfter && chosen.upstream != nullptr)
            answer.retryAfter
                = returnTime(chosen.total - timeLimit(request), request.deadline - m_hooks.now(), m_hooks.random());
        done(answer);
        return {};
    }
    ++m_placed;
    admit(chosen);
    const slot_handle handle(++m_lastHandle);
    m_held.emplace(handle,
        placed_request { chosen.upstream->id, chosen.upstream->generation, request.policy.route, object, chosen.state,
            chosen.runTime, chosen.queued, request.bodySize, request.onRevoked });
    m_bytesInFlight.add(chosen.upstream->id, request.bodySize);
    m_stats[chosen.upstream->id].noteRequest();
    answer.slot = held_slot { handle, *chosen.upstream, request.deadline };
    done(answer);
    return {};
}

duration placement_service::timeLimit(const slot_request& request) const
{
    const duration remaining = request.deadline - m_hooks.now();
    const bool isUrgent = request.policy.priority < m_options.sheddablePriority;
    if (isUrgent || request.policy.targetLatency <= duration::zero())
        return remaining;
    return std::min(remaining, scaled(request.policy.targetLatency, m_options.sheddableTimeFactor));
}

std::vector<log_field> placement_service::inputsOf(
    const slot_request& request, const candidate& chosen, const excluded_counts& excluded)
{
    std::vector<log_field> inputs { { "configuration", absl::StrCat(m_control->state().config.number.value()) },
        { "patience_ms", milliseconds(timeLimit(request)) } };
    if (excluded.ejected + excluded.outliers + excluded.cold + excluded.paused + excluded.full > 0)
        inputs.push_back({ "left_out",
            absl::StrCat("ejected ", excluded.ejected, ", outliers ", excluded.outliers, ", cold ", excluded.cold,
                ", paused ", excluded.paused,
                excluded.full > 0 ? absl::StrCat(", full ", excluded.full) : std::string()) });
    if (chosen.upstream == nullptr)
        return inputs;
    const upstream_stats& stats = m_stats[chosen.upstream->id];
    inputs.push_back({ "best", chosen.upstream->id.value() });
    inputs.push_back({ "object", std::string(nameOf(chosen.state)) });
    inputs.push_back({ "load", absl::StrCat(chosen.load) });
    inputs.push_back({ "slowness", absl::StrFormat("%.1f", stats.slowness(m_hooks.now())) });
    inputs.push_back({ "expected_ms", milliseconds(chosen.total) });
    return inputs;
}

void placement_service::release(slot_handle handle, const slot_result& result)
{
    const auto found = m_held.find(handle);
    internal_assert(found != m_held.end()) << "slot handle " << handle.value() << " is released twice";
    const placed_request placed = found->second;
    m_held.erase(found);
    m_bytesInFlight.remove(placed.upstream, placed.bodySize);
    noteUnavailability(placed, result.metadata);
    const auto stats = m_stats.find(placed.upstream);
    if (stats == m_stats.end())
        return;
    const bool countsForSlowness = !placed.queued && placed.state != object_state::Likely;
    stats->second.noteResult(
        result, placed.object, countsForSlowness ? placed.expected : duration::zero(), m_hooks.now());
    if (result.ended == slot_result::kind::Answered && !placed.queued)
        m_latencies.observe(placed.route, placed.state, result.latency, m_hooks.now());
}

void placement_service::noteUnavailability(const placed_request& placed, const answer_metadata& metadata)
{
    if (metadata.wrongInstance)
        return;
    if (metadata.draining)
        noteDraining(placed);
    if (metadata.retryAfter)
        notePause(placed, *metadata.retryAfter);
}

void placement_service::noteDraining(const placed_request& placed)
{
    if (!m_unavailability.noteDraining(placed.upstream, placed.generation, m_hooks.now()))
        return;
    ++m_reportedDraining;
    m_hooks.log({ log_level::Info, port_names::slots, "upstream-answered-draining",
        { { "upstream", placed.upstream.value() }, { "generation", absl::StrCat(placed.generation.value()) } } });
    updateOrders(placed.upstream);
    revokeSlots(placed.upstream, placed.generation);
}

void placement_service::notePause(const placed_request& placed, duration pause)
{
    if (!m_unavailability.notePause(placed.upstream, placed.generation, pause, m_hooks.now()))
        return;
    ++m_pauses;
    m_hooks.log({ log_level::Info, port_names::slots, "upstream-paused",
        { { "upstream", placed.upstream.value() }, { "generation", absl::StrCat(placed.generation.value()) },
            { "pause_ms", milliseconds(pause) } } });
    revokeSlots(placed.upstream, placed.generation);
}

void placement_service::revokeSlots(const upstream_id& id, upstream_generation generation)
{
    std::map<slot_handle, std::function<void()>> inOrderOfAcquisition;
    for (const auto& [handle, placed] : m_held) {
        if (placed.upstream == id && placed.generation == generation && placed.onRevoked)
            inOrderOfAcquisition.emplace(handle, placed.onRevoked);
    }
    for (const auto& [handle, onRevoked] : inOrderOfAcquisition)
        m_hooks.schedule(duration::zero(), onRevoked);
}

duration placement_service::remainingPause(const upstream_announcement& upstream) const
{
    return m_unavailability.remainingPause(upstream.id, upstream.generation, m_hooks.now());
}

std::optional<duration> placement_service::pauseOfAll(const affinity_order& order) const
{
    std::optional<duration> shortest;
    for (const upstream_announcement* upstream : order.all()) {
        const duration pause = remainingPause(*upstream);
        if (pause == duration::zero())
            return std::nullopt;
        shortest = std::min(pause, shortest.value_or(pause));
    }
    return shortest;
}

state_dump placement_service::dump() const
{
    state_dump shown(port_names::slots);
    shown.add("placed", m_placed);
    shown.add("refused", m_refused);
    shown.add("orders_computed", m_ordersComputed);
    shown.add("reported_draining", m_reportedDraining);
    shown.add("pauses", m_pauses);
    state_dump& upstreams = shown.addObject("own_requests");
    for (const auto& [id, record] : m_directory) {
        const auto stats = m_stats.find(id);
        if (stats != m_stats.end())
            upstreams.add(id.value(), static_cast<std::uint64_t>(stats->second.ownRequests()));
    }
    m_bytesInFlight.dumpTo(shown.addObject("body_bytes_in_flight"));
    state_dump& cold = shown.addObject("sent_to_cold");
    for (const auto& [id, record] : m_directory) {
        const auto stats = m_stats.find(id);
        if (stats != m_stats.end() && stats->second.isCold(m_hooks.now()))
            cold.add(id.value(), static_cast<std::uint64_t>(stats->second.coldLimiter().admitted(m_hooks.now())));
    }
    return shown;
}

} // namespace plantainlatch
