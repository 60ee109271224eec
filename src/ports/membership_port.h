#pragma once

/** \file
 * The interface to cluster membership: which VMs are alive, and for which regions this VM is the slot allocator.
 */

#include <functional>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "model/control_message.h"

namespace plantainlatch {

/** The last heartbeat of a VM and when it was received, on this VM's clock. */
struct vm_report {
    vm_heartbeat last;
    time_point receivedAt {};
    /** Since this time, no gap between heartbeats was longer than the time-out after which a VM counts as dead. */
    time_point aliveSince {};
};

/** The cluster's membership, as far as this VM knows it. */
struct membership_port {
    /** The incarnation of this VM: a random number chosen at its start. */
    std::function<incarnation()> start;
    /** The VMs whose heartbeats reach the leader; empty on other VMs than the leader. */
    std::function<std::vector<vm_id>()> liveVms;
    /** When this VM's lease as the region's slot allocator ends, on its own clock; none when it is not the allocator or
     * holds no lease. */
    std::function<std::optional<time_point>(const region_id&)> allocatorLeaseEnd;
    /** How long an allocator lease may be held after its last renewal, including the margin for clock drift. */
    std::function<duration()> allocatorLease;
    /** Whether this VM's graceful stop has begun; it then takes no new roles. */
    std::function<bool()> stopping;
    /** Begins the graceful stop: callers are directed to other entries, and the allocator roles are given up. */
    std::function<void()> beginStop;
    /** Called during the stop if requests of this VM may still run at upstreams after the process has ended; the stop
     * is then not recorded as clean. */
    std::function<void()> markUnfinishedWork;
    /** The VMs that callers should not be sent to because they are dead or stopping, as last reported by the leader. */
    std::function<std::vector<vm_id>()> avoided;
    /** The last heartbeat of each live VM; empty on other VMs than the leader. */
    std::function<std::vector<vm_report>()> reports;
    /** Whether this VM is the leader and has applied all log entries that earlier leaders could have committed. */
    std::function<bool()> isCaughtUpLeader;
    /** Whether the leader recently answered a heartbeat of this VM, so that messages pass in both directions. */
    std::function<bool()> hasLeaderContact;
    /** How long ago the last heartbeat that the leader answered was sent; none if it answered none. */
    std::function<std::optional<duration>()> leaderContactAge;
    /** Whether this VM has applied the log entry that records its own start, and so all entries committed before it. */
    std::function<bool()> joined;
    /** Adds a function that fills in its part of each heartbeat that this VM sends. */
    std::function<void(std::function<void(vm_heartbeat&)>)> onSend;
    /** Adds a handler, called on the leader for each heartbeat; it may add to the answer. */
    std::function<void(std::function<void(const vm_heartbeat&, heartbeat_answer&)>)> onHeartbeat;
    /** Adds a handler of the leader's answers; `sentAt` is when the answered heartbeat was sent. */
    std::function<void(std::function<void(const heartbeat_answer&, time_point sentAt)>)> onAnswer;
    /** Adds a listener to changes of avoided(). */
    std::function<void(std::function<void()>)> onAvoidedChange;
};

} // namespace plantainlatch
