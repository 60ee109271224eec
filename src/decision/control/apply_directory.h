#pragma once

/** \file
 * Registers upstreams in the replicated directory and removes them from it, with damping of upstreams that flap.
 */

#include <chrono>
#include <cstddef>
#include <optional>

#include "absl/status/status.h"
#include "model/control_snapshot.h"

namespace plantainlatch {

/** The most upstreams in the directory; further ones are refused. */
inline constexpr std::size_t maximumUpstreams = 16384;

/** The most records of departed upstreams; the one that left first is evicted. */
inline constexpr std::size_t maximumDeparted = 4096;

/** If more than this time passes between two departures of an upstream, its count of expirations starts again at 0. */
inline constexpr duration flapResetTime = std::chrono::minutes(5);

/** The number of expirations up to which an upstream can register again without a delay. */
inline constexpr std::uint32_t allowedExpirations = 2;

/** The delay before an upstream can register again after the first expiration beyond the allowed ones. Each further
 * expiration doubles the delay, up to the maximum. */
inline constexpr duration initialFlapDelay = std::chrono::seconds(5);
inline constexpr duration maximumFlapDelay = std::chrono::seconds(60);

/** Rules for accepting announcements. They are part of the state machine, so all VMs of a system must use the same
 * rules. */
struct directory_rules {
    /** Refuses announcements whose service, region or failure domain is not declared. */
    bool requireDeclared = true;
    /** If two upstreams announce the same address, the one with the later generation keeps it; otherwise the one that
     * registered first does. Requires that generations of different upstreams are comparable. */
    bool latestOwnsAddress = false;
    /** Delays the registration of an upstream whose announcements expired too often; see flapDelay(). */
    bool dampFlapping = true;
};

/** Checks whether the announcement can be registered at `now`. Returns OK or one of:
 * - NotFound: the service or the failure domain is not declared;
 * - InvalidArgument: the announcement contradicts the configuration or an earlier one of its generation;
 * - PermissionDenied: the upstream is withdrawn, the generation is outdated, or it has deregistered;
 * - AlreadyExists: another upstream has the address;
 * - Unavailable: the upstream flaps and has to wait;
 * - ResourceExhausted: the directory is full. */
absl::Status checkAnnouncement(const control_snapshot& state, const upstream_announcement& offered, wall_time now,
    const directory_rules& rules = {});

/** The delay before an upstream can register again after this many expirations. */
duration flapDelay(std::uint32_t expirations);

/** The upstream's usable slots: the minimum of the announced slots and the limits declared for the service and for the
 * upstream. */
slot_count effectiveSlots(const configuration& config, const upstream_announcement& announcement);

/** Whether the announcement's service is declared, and its failure domain belongs to its region. */
bool isLocationDeclared(const configuration& config, const upstream_announcement& announcement);

/** The generation that is registered, or the last one that was; none if the upstream is not known. */
std::optional<upstream_generation> lastKnownGeneration(const control_snapshot& state, const upstream_id& id);

/** Whether two announcements of one generation are equal apart from their sequence numbers and, if both upstreams are
 * cold, the remaining cold time. Such a renewal needs no entry in the log. */
bool hasSameContent(const upstream_announcement& left, const upstream_announcement& right);

/** Whether `offered` is of the same generation as `former` but has a lower sequence number, so it was sent earlier. */
bool isStaleAnnouncement(const upstream_announcement& former, const upstream_announcement& offered);

/** Registers or updates an upstream. Returns AlreadyAccepted without a change if the announcement is equal to the
 * registered one or older, and Refused if checkAnnouncement() fails. */
command_result applyJoin(
    control_snapshot& state, const proposal& item, const upstream_joined& command, const directory_rules& rules = {});

/** Removes the upstream if this generation is registered and, for an expiration, its sequence number is still the same.
 * Otherwise returns AlreadyAccepted and leaves the directory as it is. A deregistration is recorded in both cases
 * unless a later generation is known. */
command_result applyLeave(control_snapshot& state, const proposal& item, const upstream_left& command);

} // namespace plantainlatch
