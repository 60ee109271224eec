#pragma once

/** \file
 * The hooks by which services learn which VMs are alive and which regions this VM allocates slots for.
 */

#include <functional>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "model/control_message.h"

namespace plantainlatch {

/** The last heartbeat of a VM and when it came, on this VM's clock. */
struct vm_report {
    vm_heartbeat last;
    time_point receivedAt {};
    /** Since when the VM was heard of without a gap. */
    time_point aliveSince {};
};

/** The membership of the system as this VM knows it. */
struct membership_port {
    /** The random number of this start of this VM. */
    std::function<incarnation()> start;
    /** The VMs that the leader hears from; only the leader knows, elsewhere empty. */
    std::function<std::vector<vm_id>()> liveVms;
    /** Until when this VM may grant slots of a region, on its own clock; none when it is not the allocator or has no
     * lease. */
    std::function<std::optional<time_point>(const region_id&)> allocatorLeaseEnd;
    /** The longest allocator lease that any VM may still hold after it was last renewed. */
    std::function<duration()> allocatorLease;
    /** This VM began its graceful stop: it takes no new roles. */
    std::function<bool()> stopping;
    /** Begins the graceful stop: callers are sent elsewhere and roles move away. */
    std::function<void()> beginStop;
    /** Tells, during the stop, that work of this VM may still run at upstreams when it ends. */
    std::function<void()> markUnfinishedWork;
    /** VMs that callers should not be sent to: dead or stopping as far as the leader told this VM. */
    std::function<std::vector<vm_id>()> avoided;
    /** The last heartbeat of each live VM; only the leader knows, elsewhere empty. */
    std::function<std::vector<vm_report>()> reports;
    /** This VM leads and has applied all that earlier leaders could have decided. */
    std::function<bool()> isCaughtUpLeader;
    /** The leader answered a heartbeat of this VM lately, so that messages arrive both ways. */
    std::function<bool()> hasLeaderContact;
    /** The log has this start of this VM, and so this VM has all that was accepted before. */
    std::function<bool()> joined;
    /** Adds a part to each heartbeat that this VM sends. */
    std::function<void(std::function<void(vm_heartbeat&)>)> onSend;
    /** Adds a reader of heartbeats at the leader, which may add to the answer. */
    std::function<void(std::function<void(const vm_heartbeat&, heartbeat_answer&)>)> onHeartbeat;
    /** Adds a reader of the leader's answers, with when the answered heartbeat was sent. */
    std::function<void(std::function<void(const heartbeat_answer&, time_point sentAt)>)> onAnswer;
    /** Adds a listener to changes of avoided(). */
    std::function<void(std::function<void()>)> onAvoidedChange;
};

} // namespace plantainlatch
