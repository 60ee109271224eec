#pragma once

/** \file
 * Applies joins and leaves of upstreams to the directory in the control state.
 */

#include <chrono>
#include <cstddef>

#include "absl/status/status.h"
#include "model/control_snapshot.h"

namespace plantainlatch {

/** How many upstreams the directory takes; more are refused. */
inline constexpr std::size_t maximumUpstreams = 16384;

/** How many departed upstreams are remembered; the earliest goes first. */
inline constexpr std::size_t maximumDeparted = 4096;

/** An upstream that stayed away from silence for this long starts with a clean record. */
inline constexpr duration flapResetTime = std::chrono::minutes(5);

/** So many silences are forgiven before a return has to wait. */
inline constexpr std::uint32_t forgivenSilences = 2;

/** How long the first damped return waits; each further silence doubles it up to the longest. */
inline constexpr duration firstFlapWait = std::chrono::seconds(5);
inline constexpr duration longestFlapWait = std::chrono::seconds(60);

/** What an announcement must fulfil; all VMs of a system have the same rules. */
struct directory_rules {
    /** Its service and place must be declared. */
    bool declaredOnly = true;
    /** Of two upstreams at one address the later generation holds it; otherwise the one that came first does.
     * Generations of different upstreams must then be comparable. */
    bool addressToLatest = false;
    /** An upstream that comes and goes too often has to wait. */
    bool dampsFlapping = true;
};

/** Whether the announcement may enter the directory now: OK, NotFound (its service or place is not declared),
 * InvalidArgument (it does not fit the configuration),
 * PermissionDenied (withdrawn, an earlier generation, or a goodbye was said), AlreadyExists (another upstream has the
 * address), Unavailable (it flaps and has to wait) or ResourceExhausted. */
absl::Status checkAnnouncement(const control_snapshot& state, const upstream_announcement& offered, wall_time now,
    const directory_rules& rules = {});

/** How long an upstream that fell silent so often waits before it may return. */
duration flapWait(std::uint32_t expirations);

/** The slots that may be used: the least of what is announced and what is declared. */
slot_count effectiveSlots(const configuration& config, const upstream_announcement& announcement);

/** Whether the announcement's service and place are declared. */
bool isLocationDeclared(const configuration& config, const upstream_announcement& announcement);

/** Whether two announcements of one generation say the same, but for their numbers and how much of a cold time is left.
 */
bool hasSameContent(const upstream_announcement& left, const upstream_announcement& right);

/** Whether an announcement was overtaken by a later one of its generation. */
bool isStaleAnnouncement(const upstream_announcement& former, const upstream_announcement& offered);

command_result applyJoin(
    control_snapshot& state, const proposal& item, const upstream_joined& command, const directory_rules& rules = {});

/** Takes the upstream out; another generation than the one that left is AlreadyAccepted and changes nothing. */
command_result applyLeave(control_snapshot& state, const proposal& item, const upstream_left& command);

} // namespace plantainlatch
