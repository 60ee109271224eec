#include "decision/control/apply_directory.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "core/internal_assert.h"
#include "decision/control/command_results.h"

namespace plantainlatch {

namespace {

    absl::Status checkPlace(const configuration& config, const upstream_announcement& offered)
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
        const auto known = state.directory.find(offered.id);
        if (known != state.directory.end() && known->second.announcement.generation > offered.generation)
            return absl::PermissionDeniedError("a later generation of the upstream has joined");
        const auto gone = state.departed.find(offered.id);
        if (gone == state.departed.end())
            return absl::OkStatus();
        if (gone->second.generation > offered.generation)
            return absl::PermissionDeniedError("a later generation of the upstream has joined and left");
        if (gone->second.generation == offered.generation && gone->second.deregistered)
            return absl::PermissionDeniedError("this generation of the upstream said goodbye");
        return absl::OkStatus();
    }

    absl::Status checkIdentity(
        const control_snapshot& state, const upstream_announcement& offered, const directory_rules& rules)
    {
        for (const auto& [id, record] : state.directory) {
            const bool yields = rules.addressToLatest && record.announcement.generation < offered.generation;
            if (id != offered.id && record.announcement.address == offered.address && !yields)
                return absl::AlreadyExistsError(
                    absl::StrCat("upstream '", id.value(), "' has the address ", formatAddress(offered.address)));
        }
        const auto known = state.directory.find(offered.id);
        if (known == state.directory.end() || known->second.announcement.generation != offered.generation)
            return absl::OkStatus();
        const upstream_announcement& former = known->second.announcement;
        if (former.address != offered.address || former.service != offered.service
            || former.failureDomain != offered.failureDomain)
            return absl::InvalidArgumentError(
                "one generation of an upstream keeps its address, service and failure domain");
        return absl::OkStatus();
    }

    /** Takes upstreams out whose address an upstream of a later generation has. */
    void dropFormerHolders(control_snapshot& state, const upstream_announcement& offered)
    {
        std::erase_if(state.directory, [&offered](const auto& item) {
            return item.first != offered.id && item.second.announcement.address == offered.address;
        });
    }

    absl::Status checkRoom(const control_snapshot& state, const upstream_announcement& offered, wall_time now,
        const directory_rules& rules)
    {
        const auto known = state.directory.find(offered.id);
        const bool isKnown = known != state.directory.end();
        if (isKnown && known->second.announcement.generation == offered.generation)
            return absl::OkStatus();
        if (!isKnown && state.directory.size() >= maximumUpstreams)
            return absl::ResourceExhaustedError("the directory is full");
        const auto gone = state.departed.find(offered.id);
        if (rules.dampsFlapping && gone != state.departed.end()
            && now < gone->second.leftAt + flapWait(gone->second.expirations))
            return absl::UnavailableError("the upstream came and went too often and has to wait");
        return absl::OkStatus();
    }

    void dropEarliestDeparted(std::map<upstream_id, departed_record>& departed)
    {
        if (departed.size() <= maximumDeparted)
            return;
        const auto earliest = std::min_element(departed.begin(), departed.end(),
            [](const auto& left, const auto& right) { return left.second.leftAt < right.second.leftAt; });
        departed.erase(earliest);
    }

    void rememberDeparture(control_snapshot& state, const upstream_left& command, wall_time now)
    {
        departed_record& record = state.departed[command.id];
        if (now - record.leftAt > flapResetTime)
            record.expirations = 0;
        if (!command.deregistered)
            ++record.expirations;
        record.generation = command.generation;
        record.deregistered = command.deregistered;
        record.leftAt = now;
        dropEarliestDeparted(state.departed);
        internal_assert(state.departed.size() <= maximumDeparted) << state.departed.size();
    }

} // namespace

duration flapWait(std::uint32_t expirations)
{
    if (expirations <= forgivenSilences)
        return duration::zero();
    duration wait = firstFlapWait;
    for (std::uint32_t i = forgivenSilences + 1; i < expirations && wait < longestFlapWait; ++i)
        wait *= 2;
    return std::min(wait, longestFlapWait);
}

absl::Status checkAnnouncement(
    const control_snapshot& state, const upstream_announcement& offered, wall_time now, const directory_rules& rules)
{
    absl::Status status;
    if (rules.declaredOnly) {
        status.Update(checkPlace(state.config, offered));
        status.Update(checkLimits(state.config, offered));
    }
    status.Update(checkDefinition(state.config, offered));
    status.Update(checkGeneration(state, offered));
    status.Update(checkIdentity(state, offered, rules));
    status.Update(checkRoom(state, offered, now, rules));
    return status;
}

bool isStaleAnnouncement(const upstream_announcement& former, const upstream_announcement& offered)
{
    return former.generation == offered.generation && offered.sequence < former.sequence;
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
    return checkPlace(config, announcement).ok() && config.services.contains(announcement.service);
}

command_result applyJoin(
    control_snapshot& state, const proposal& item, const upstream_joined& command, const directory_rules& rules)
{
    const upstream_announcement& offered = command.announcement;
    const auto known = state.directory.find(offered.id);
    if (known != state.directory.end()
        && (known->second.announcement == offered || isStaleAnnouncement(known->second.announcement, offered)))
        return alreadyAccepted();
    const absl::Status status = checkAnnouncement(state, offered, item.proposedAt, rules);
    if (!status.ok())
        return refused(std::string(status.message()));
    if (known != state.directory.end()) {
        const upstream_generation former = known->second.announcement.generation;
        if (former != offered.generation)
            rememberDeparture(state, { offered.id, former, false }, item.proposedAt);
    }
    if (rules.addressToLatest)
        dropFormerHolders(state, offered);
    state.directory[offered.id] = { offered, item.proposedAt };
    internal_assert(state.directory.size() <= maximumUpstreams) << state.directory.size();
    return accepted();
}

command_result applyLeave(control_snapshot& state, const proposal& item, const upstream_left& command)
{
    const auto known = state.directory.find(command.id);
    const bool isHere = known != state.directory.end();
    const bool isNews = isHere && !command.deregistered && known->second.announcement.sequence != command.sequence;
    if (isNews)
        return alreadyAccepted();
    if (isHere && known->second.announcement.generation == command.generation) {
        state.directory.erase(known);
        rememberDeparture(state, command, item.proposedAt);
        return accepted();
    }
    // A goodbye may overtake the join of its generation, which must not enter the directory after it.
    const auto gone = state.departed.find(command.id);
    const bool isEarlier = (isHere && known->second.announcement.generation > command.generation)
        || (gone != state.departed.end() && gone->second.generation > command.generation);
    if (command.deregistered && !isEarlier)
        rememberDeparture(state, command, item.proposedAt);
    return alreadyAccepted();
}

} // namespace plantainlatch
