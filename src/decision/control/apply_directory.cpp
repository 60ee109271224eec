#include "decision/control/apply_directory.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "core/internal_assert.h"
#include "decision/control/command_results.h"

namespace plantainlatch {

namespace {

    absl::Status checkLocation(const configuration& config, const upstream_announcement& offered)
    {
        const region_id region = regionOf(config, offered.failureDomain);
        if (region.empty())
            return absl::NotFoundError(
                absl::StrCat("failure domain '", offered.failureDomain.value(), "' is not declared"));
        if (region != offered.region)
            return absl::InvalidArgumentError(absl::StrCat("failure domain '", offered.failureDomain.value(),
                "' belongs to region '", region.value(), "', not '", offered.region.value(), "'"));
        return absl::OkStatus();
    }

    absl::Status checkLimits(const configuration& config, const upstream_announcement& offered)
    {
        const auto found = config.services.find(offered.service);
        if (found == config.services.end())
            return absl::NotFoundError(absl::StrCat("service '", offered.service.value(), "' is not declared"));
        const service_definition& limits = found->second;
        if (offered.slots.value() == 0 || offered.slots > limits.slots)
            return absl::InvalidArgumentError(absl::StrCat("an upstream of service '", offered.service.value(),
                "' has 1 to ", limits.slots.value(), " slots, not ", offered.slots.value()));
        if (offered.connections == 0 || offered.connections > limits.connections)
            return absl::InvalidArgumentError(absl::StrCat("an upstream of service '", offered.service.value(),
                "' has 1 to ", limits.connections, " connections, not ", offered.connections));
        return absl::OkStatus();
    }

    absl::Status checkDefinition(const configuration& config, const upstream_announcement& offered)
    {
        if (config.withdrawnUpstreams.contains(offered.id))
            return absl::PermissionDeniedError(absl::StrCat("upstream '", offered.id.value(), "' is withdrawn"));
        const auto found = config.upstreams.find(offered.id);
        if (found == config.upstreams.end())
            return absl::OkStatus();
        const upstream_definition& declaredAs = found->second;
        if (declaredAs.service != offered.service || declaredAs.failureDomain != offered.failureDomain)
            return absl::InvalidArgumentError(
                absl::StrCat("upstream '", offered.id.value(), "' is declared for service '",
                    declaredAs.service.value(), "' in failure domain '", declaredAs.failureDomain.value(), "'"));
        return absl::OkStatus();
    }

    absl::Status checkGeneration(const control_snapshot& state, const upstream_announcement& offered)
    {
        const auto registered = state.directory.find(offered.id);
        if (registered != state.directory.end() && registered->second.announcement.generation > offered.generation)
            return absl::PermissionDeniedError("a later generation of the upstream has joined");
        const auto departure = state.departed.find(offered.id);
        if (departure == state.departed.end())
            return absl::OkStatus();
        if (departure->second.generation > offered.generation)
            return absl::PermissionDeniedError("a later generation of the upstream has joined and left");
        if (departure->second.generation == offered.generation && departure->second.deregistered)
            return absl::PermissionDeniedError("this generation of the upstream said goodbye");
        return absl::OkStatus();
    }

    absl::Status checkIdentity(
        const control_snapshot& state, const upstream_announcement& offered, const directory_rules& rules)
    {
        for (const auto& [id, record] : state.directory) {
            const bool replaced = rules.latestOwnsAddress && record.announcement.generation < offered.generation;
            if (id != offered.id && record.announcement.address == offered.address && !replaced)
                return absl::AlreadyExistsError(
                    absl::StrCat("upstream '", id.value(), "' has the address ", formatAddress(offered.address)));
        }
        const auto registered = state.directory.find(offered.id);
        if (registered == state.directory.end() || registered->second.announcement.generation != offered.generation)
            return absl::OkStatus();
        const upstream_announcement& former = registered->second.announcement;
        if (former.address != offered.address || former.service != offered.service
            || former.failureDomain != offered.failureDomain)
            return absl::InvalidArgumentError(
                "one generation of an upstream keeps its address, service and failure domain");
        return absl::OkStatus();
    }

    absl::Status checkAdmission(const control_snapshot& state, const upstream_announcement& offered, wall_time now,
        const directory_rules& rules)
    {
        const auto registered = state.directory.find(offered.id);
        const bool isRegistered = registered != state.directory.end();
        if (isRegistered && registered->second.announcement.generation == offered.generation)
            return absl::OkStatus();
        if (!isRegistered && state.directory.size() >= maximumUpstreams)
            return absl::ResourceExhaustedError("the directory is full");
        const auto departure = state.departed.find(offered.id);
        if (rules.dampFlapping && departure != state.departed.end()
            && now < departure->second.leftAt + flapDelay(departure->second.expirations))
            return absl::UnavailableError("the upstream came and went too often and has to wait");
        return absl::OkStatus();
    }

    void evictEarliestDeparted(std::map<upstream_id, departed_record>& departed)
    {
        if (departed.size() <= maximumDeparted)
            return;
        const auto earliest = std::min_element(departed.begin(), departed.end(),
            [](const auto& left, const auto& right) { return left.second.leftAt < right.second.leftAt; });
        departed.erase(earliest);
    }

    void recordDeparture(control_snapshot& state, const upstream_left& command, wall_time now)
    {
        departed_record& record = state.departed[command.id];
        if (now - record.leftAt > flapResetTime)
            record.expirations = 0;
        if (!command.deregistered)
            ++record.expirations;
        record.generation = command.generation;
        record.deregistered = command.deregistered;
        record.leftAt = now;
        evictEarliestDeparted(state.departed);
        internal_assert(state.departed.size() <= maximumDeparted) << state.departed.size();
    }

    /** Removes other upstreams at this address, which checkIdentity() found to be of earlier generations. They are not
     * recorded as deregistered: the announcement that claims the address may be wrong, and they may be alive. */
    void removeFormerAddressOwners(control_snapshot& state, const upstream_announcement& offered, wall_time now)
    {
        std::vector<upstream_left> removed;
        for (const auto& [id, record] : state.directory) {
            if (id != offered.id && record.announcement.address == offered.address)
                removed.push_back({ id, record.announcement.generation, false });
        }
        for (const upstream_left& item : removed) {
            state.directory.erase(item.id);
            recordDeparture(state, item, now);
        }
    }

} // namespace

duration flapDelay(std::uint32_t expirations)
{
    if (expirations <= allowedExpirations)
        return duration::zero();
    duration wait = initialFlapDelay;
    for (std::uint32_t i = allowedExpirations + 1; i < expirations && wait < maximumFlapDelay; ++i)
        wait *= 2;
    return std::min(wait, maximumFlapDelay);
}

absl::Status checkAnnouncement(
    const control_snapshot& state, const upstream_announcement& offered, wall_time now, const directory_rules& rules)
{
    absl::Status status;
    if (rules.requireDeclared) {
        status.Update(checkLocation(state.config, offered));
        status.Update(checkLimits(state.config, offered));
    }
    status.Update(checkDefinition(state.config, offered));
    status.Update(checkGeneration(state, offered));
    status.Update(checkIdentity(state, offered, rules));
    status.Update(checkAdmission(state, offered, now, rules));
    return status;
}

bool isStaleAnnouncement(const upstream_announcement& former, const upstream_announcement& offered)
{
    return former.generation == offered.generation && offered.sequence < former.sequence;
}

std::optional<upstream_generation> lastKnownGeneration(const control_snapshot& state, const upstream_id& id)
{
    const auto registered = state.directory.find(id);
    if (registered != state.directory.end())
        return registered->second.announcement.generation;
    const auto departure = state.departed.find(id);
    if (departure != state.departed.end())
        return departure->second.generation;
    return std::nullopt;
}

bool hasSameContent(const upstream_announcement& left, const upstream_announcement& right)
{
    upstream_announcement comparable = right;
    comparable.sequence = left.sequence;
    const bool bothCold = left.coldFor > duration::zero() && right.coldFor > duration::zero();
    if (bothCold)
        comparable.coldFor = left.coldFor;
    return left == comparable;
}

slot_count effectiveSlots(const configuration& config, const upstream_announcement& announcement)
{
    slot_count slots = announcement.slots;
    const auto limits = config.services.find(announcement.service);
    if (limits != config.services.end())
        slots = std::min(slots, limits->second.slots);
    const auto definition = config.upstreams.find(announcement.id);
    if (definition != config.upstreams.end() && definition->second.slots.has_value())
        slots = std::min(slots, *definition->second.slots);
    return slots;
}

bool isLocationDeclared(const configuration& config, const upstream_announcement& announcement)
{
    return checkLocation(config, announcement).ok() && config.services.contains(announcement.service);
}

command_result applyJoin(
    control_snapshot& state, const proposal& item, const upstream_joined& command, const directory_rules& rules)
{
    const upstream_announcement& offered = command.announcement;
    const auto registered = state.directory.find(offered.id);
    if (registered != state.directory.end()
        && (registered->second.announcement == offered
            || isStaleAnnouncement(registered->second.announcement, offered)))
        return alreadyAccepted();
    const absl::Status status = checkAnnouncement(state, offered, item.proposedAt, rules);
    if (!status.ok())
        return refused(std::string(status.message()));
    if (registered != state.directory.end()) {
        const upstream_generation former = registered->second.announcement.generation;
        if (former != offered.generation)
            recordDeparture(state, { offered.id, former, false }, item.proposedAt);
    }
    if (rules.latestOwnsAddress)
        removeFormerAddressOwners(state, offered, item.proposedAt);
    state.directory[offered.id] = { offered, item.proposedAt };
    internal_assert(state.directory.size() <= maximumUpstreams) << state.directory.size();
    return accepted();
}

command_result applyLeave(control_snapshot& state, const proposal& item, const upstream_left& command)
{
    const auto registered = state.directory.find(command.id);
    const bool isRegistered = registered != state.directory.end();
    const bool isRenewed
        = isRegistered && !command.deregistered && registered->second.announcement.sequence != command.sequence;
    if (isRenewed)
        return alreadyAccepted();
    // A deregistration can be applied before the join of the same generation, while an earlier generation is still
    // registered. That one has ended, too.
    const bool endsEarlier
        = isRegistered && command.deregistered && registered->second.announcement.generation < command.generation;
    if (endsEarlier || (isRegistered && registered->second.announcement.generation == command.generation)) {
        state.directory.erase(registered);
        recordDeparture(state, command, item.proposedAt);
        return accepted();
    }
    // Recording the deregistration makes the join of the same generation fail.
    const auto departure = state.departed.find(command.id);
    const bool isOutdated = (isRegistered && registered->second.announcement.generation > command.generation)
        || (departure != state.departed.end() && departure->second.generation > command.generation);
    if (command.deregistered && !isOutdated)
        recordDeparture(state, command, item.proposedAt);
    return alreadyAccepted();
}

} // namespace plantainlatch
