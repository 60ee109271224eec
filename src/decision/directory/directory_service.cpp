#include "decision/directory/directory_service.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "core/internal_assert.h"
#include "decision/control/apply_directory.h"
#include "decision/peers/peer_router.h"
#include "ports/port_names.h"

namespace plantainlatch {

namespace {

    constexpr duration tickInterval = std::chrono::milliseconds(500);

    /** The limit on concurrent joins through this VM, and on the callbacks that wait for each. */
    constexpr std::size_t maximumJoining = 1024;
    constexpr std::size_t maximumWaiting = 8;

    /** The limit on concurrent proposals to remove upstreams. */
    constexpr std::size_t maximumRemoving = 64;

    /** How long the last announcement of an upstream that is not in the directory is kept. */
    constexpr duration unknownRetention = std::chrono::minutes(1);

    /** Maps refusals that may be temporary to Unavailable. This includes NotFound: this VM may not have applied the
     * declaration yet. */
    absl::Status refusalStatus(const absl::Status& status)
    {
        const bool isTemporary
            = absl::IsAlreadyExists(status) || absl::IsResourceExhausted(status) || absl::IsNotFound(status);
        if (isTemporary)
            return absl::UnavailableError(status.message());
        return status;
    }

    absl::Status proposalStatus(const absl::StatusOr<command_result>& result)
    {
        if (!result.ok())
            return absl::UnavailableError(result.status().message());
        if (result->verdict == command_verdict::Refused || result->verdict == command_verdict::Conflict)
            return absl::UnavailableError(result->message);
        return absl::OkStatus();
    }

} // namespace

absl::StatusOr<std::unique_ptr<directory_service>> directory_service::create(
    const kernel_hooks& hooks, const vm_settings& settings, directory_options options)
{
    if (options.renewalInterval >= options.silenceTimeout || options.silenceTimeout > options.removalTimeout)
        return absl::InvalidArgumentError(
            "silenceTimeout must be longer than renewalInterval and not longer than removalTimeout");
    return std::unique_ptr<directory_service>(new directory_service(hooks, settings, options));
}

directory_service::directory_service(const kernel_hooks& hooks, const vm_settings& settings, directory_options options)
    : m_hooks(hooks)
    , m_self(settings.self.id)
    , m_options(options)
{
    m_port.announce = [this](const upstream_announcement& offered, const answer& done) { announce(offered, done); };
    m_port.leave = [this](const upstream_id& id, std::optional<upstream_generation> generation,
                       const caller_check& senderWaits, const answer& done) {
        if (generation)
            leave(id, *generation, done);
        else
            leaveOnceCaughtUp(id, senderWaits, done);
    };
    m_port.renewalInterval = [this] { return m_options.renewalInterval; };
    m_livenessPort.lastSeen = [this](const upstream_id& id) { return lastSeen(id); };
    m_livenessPort.silenceTimeout = [this] { return m_options.silenceTimeout; };
}

service directory_service::asService()
{
    service item;
    item.name = port_names::directory;
    item.dependencies = { port_names::control, port_names::consensus, port_names::membership, port_names::peerRouter };
    item.start = [this](registry& services) { return start(services); };
    item.stop = [this](std::function<void()> stopped) {
        m_hooks.cancel(m_timer);
        stopped();
    };
    item.dump = [this] { return dump(); };
    return item;
}

absl::Status directory_service::start(registry& services)
{
    m_control = *services.find<control_port>(port_names::control);
    m_consensus = *services.find<consensus_port>(port_names::consensus);
    m_membership = *services.find<membership_port>(port_names::membership);
    m_router = *services.find<peer_router>(port_names::peerRouter);
    m_router->subscribeControl([this](const vm_id&, const control_message& message) {
        if (const auto* seen = std::get_if<forwarded_announcement>(&message))
            m_liveness.note(seen->announcement.id, seen->announcement.generation, m_hooks.now());
    });
    m_timer = m_hooks.schedule(tickInterval, [this] { tick(); });
    absl::Status status = services.publish(port_names::directory, m_port);
    status.Update(services.publish(port_names::liveness, m_livenessPort));
    return status;
}

bool directory_service::isRenewal(const upstream_announcement& offered) const
{
    const auto known = m_control->state().directory.find(offered.id);
    if (known == m_control->state().directory.end())
        return false;
    const upstream_announcement& former = known->second.announcement;
    if (hasSameContent(former, offered) || isStaleAnnouncement(former, offered))
        return true;
    const bool sameState = former.draining == offered.draining
        && (former.coldFor > duration::zero()) == (offered.coldFor > duration::zero());
    if (!sameState)
        return false;
    const bool sameInstance = former.generation == offered.generation && former.address == offered.address
        && former.service == offered.service && former.failureDomain == offered.failureDomain
        && former.region == offered.region;
    return sameInstance && m_hooks.wallNow() < known->second.joinedAt + m_options.changeInterval;
}

void directory_service::announce(const upstream_announcement& offered, const answer& done)
{
    if (isRenewal(offered)) {
        if (!m_membership->hasLeaderContact()) {
            // The renewal would not reach the VM that tracks it, which would then remove the upstream.
            done(absl::UnavailableError("no contact with the leader"));
            return;
        }
        forward(offered);
        done(absl::OkStatus());
        return;
    }
    const absl::Status status = checkAnnouncement(m_control->state(), offered, m_hooks.wallNow(), m_options.rules);
    if (!status.ok())
        done(refusalStatus(status));
    else
        join(offered, done);
}

void directory_service::join(const upstream_announcement& offered, const answer& done)
{
    for (auto& [number, pending] : m_joining) {
        const bool same = pending.offered.id == offered.id && hasSameContent(pending.offered, offered);
        if (same && pending.waiting.size() < maximumWaiting) {
            pending.waiting.push_back(done);
            return;
        }
    }
    if (m_joining.size() >= maximumJoining) {
        done(absl::UnavailableError("too many upstreams are joining"));
        return;
    }
    const std::uint64_t number = ++m_lastJoin;
    m_joining[number] = { offered, { done } };
    m_consensus->propose(upstream_joined { offered }, m_options.proposalTimeout,
        [this, number](const absl::StatusOr<command_result>& result) { finishJoin(number, result); });
}

void directory_service::finishJoin(std::uint64_t number, const absl::StatusOr<command_result>& result)
{
    const absl::Status status = proposalStatus(result);
    const auto ended = m_joining.extract(number);
    internal_assert(!ended.empty()) << "join " << number << " ends twice";
    if (status.ok())
        forward(ended.mapped().offered);
    for (const answer& done : ended.mapped().waiting)
        done(status);
}

void directory_service::leaveOnceCaughtUp(const upstream_id& id, const caller_check& senderWaits, const answer& done)
{
    m_consensus->readBarrier(m_options.proposalTimeout, [this, id, senderWaits, done](const absl::Status& status) {
        if (!status.ok()) {
            done(absl::UnavailableError(status.message()));
            return;
        }
        // A call that is read late must not deregister a generation that joined after its sender gave up.
        if (!senderWaits()) {
            done(absl::UnavailableError("the sender of the call is gone"));
            return;
        }
        const std::optional<upstream_generation> generation = lastKnownGeneration(m_control->state(), id);
        if (generation)
            leave(id, *generation, done);
        else
            done(absl::UnavailableError("the upstream is not known, so its generation could join later"));
    });
}

void directory_service::leave(const upstream_id& id, upstream_generation generation, const answer& done)
{
    // The removal is proposed even if the upstream is not in the directory here, as this VM may not have applied its
    // join through another VM yet.
    const auto former = m_control->state().departed.find(id);
    const bool isDeregistered = former != m_control->state().departed.end() && former->second.deregistered
        && former->second.generation == generation;
    if (isDeregistered) {
        done(absl::OkStatus());
        return;
    }
    m_consensus->propose(upstream_left { id, generation, true }, m_options.proposalTimeout,
        [done](const absl::StatusOr<command_result>& result) { done(proposalStatus(result)); });
}

void directory_service::forward(const upstream_announcement& offered)
{
    m_liveness.note(offered.id, offered.generation, m_hooks.now());
    const vm_id renewalOwner = renewalOwnerOf(offered.region);
    if (!renewalOwner.empty() && renewalOwner != m_self)
        m_router->send(renewalOwner, control_message(forwarded_announcement { offered }));
}

vm_id directory_service::renewalOwnerOf(const region_id& region) const
{
    if (m_options.renewalOwner == renewal_owner::Leader)
        return m_consensus->state().leader;
    const auto& allocators = m_control->state().allocators;
    const auto allocator = allocators.find(region);
    return allocator != allocators.end() ? allocator->second.vm : vm_id();
}

void directory_service::recordJoins()
{
    const auto& directory = m_control->state().directory;
    std::erase_if(m_recordedJoins, [&directory](const auto& item) { return !directory.contains(item.first); });
    for (const auto& [id, record] : directory) {
        const auto [recorded, isNew] = m_recordedJoins.try_emplace(id, record.joinedAt);
        if (!isNew && recorded->second == record.joinedAt)
            continue;
        recorded->second = record.joinedAt;
        m_liveness.note(id, record.announcement.generation, m_hooks.now());
    }
}

void directory_service::tick()
{
    m_timer = m_hooks.schedule(tickInterval, [this] { tick(); });
    updateTrackedRegions();
    recordJoins();
    removeExpired();
    m_liveness.forgetUnknown(m_control->state().directory, m_hooks.now() - unknownRetention);
}

void directory_service::updateTrackedRegions()
{
    for (const auto& [region, definition] : m_control->state().config.regions) {
        const bool tracks = m_options.renewalOwner == renewal_owner::Leader
            ? m_membership->isCaughtUpLeader()
            : m_membership->allocatorLeaseEnd(region).has_value();
        m_liveness.setTracked(region, tracks, m_hooks.now());
    }
}

void directory_service::removeExpired()
{
    std::vector<upstream_announcement> expired;
    for (const auto& [id, record] : m_control->state().directory) {
        const upstream_announcement& upstream = record.announcement;
        if (!m_liveness.tracks(upstream.region) || m_removing.contains(id))
            continue;
        const std::optional<time_point> seen = m_liveness.lastSeen(upstream);
        if (seen.has_value() && m_hooks.now() - *seen > m_options.removalTimeout)
            expired.push_back(upstream);
    }
    for (const upstream_announcement& upstream : expired) {
        if (m_removing.size() >= maximumRemoving)
            return;
        m_removing.insert(upstream.id);
        m_consensus->propose(upstream_left { upstream.id, upstream.generation, false, upstream.sequence },
            m_options.proposalTimeout,
            [this, id = upstream.id](const absl::StatusOr<command_result>&) { m_removing.erase(id); });
    }
}

std::optional<time_point> directory_service::lastSeen(const upstream_id& id)
{
    updateTrackedRegions();
    const auto known = m_control->state().directory.find(id);
    if (known == m_control->state().directory.end())
        return {};
    return m_liveness.lastSeen(known->second.announcement);
}

state_dump directory_service::dump() const
{
    state_dump shown(port_names::directory);
    shown.add("joining", static_cast<std::uint64_t>(m_joining.size()));
    shown.add("removing", static_cast<std::uint64_t>(m_removing.size()));
    state_dump& upstreams = shown.addObject("last_seen");
    for (const auto& [id, record] : m_control->state().directory) {
        const std::optional<time_point> seen = m_liveness.lastSeen(record.announcement);
        if (seen.has_value())
            upstreams.add(id.value(), m_hooks.now() - *seen);
    }
    return shown;
}

} // namespace plantainlatch
