#pragma once

/** \file
 * The service of heartbeats: every VM tells the leader that it is alive, and the leader assigns and leases the
 * allocator roles of the regions.
 */

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "absl/status/statusor.h"
#include "decision/membership/allocator_leases.h"
#include "kernel/hooks.h"
#include "kernel/service.h"
#include "model/vm_settings.h"
#include "ports/consensus_port.h"
#include "ports/control_port.h"
#include "ports/membership_port.h"

namespace plantainlatch {

class peer_router;

/** What may be varied in membership_service. */
struct membership_options {
    duration heartbeatInterval = std::chrono::milliseconds(500);
    /** A VM is dead to the leader after this silence. */
    duration deadAfter = std::chrono::seconds(2);
    /** A VM is out of touch when the leader answered no heartbeat that it sent within this time. */
    duration touchLasts = std::chrono::milliseconds(1500);
    duration proposalTimeout = std::chrono::seconds(2);
    /** A VM gets a lease for its roles only if it has applied all that the leader had applied this long ago. */
    duration appliedLag = std::chrono::milliseconds(400);
    /** Withholds leases from VMs that lag behind; only tests turn it off. */
    bool leasesNeedApplied = true;
    /** A stop waits at most this long for the log to note it. */
    duration stopTimeout = std::chrono::seconds(1);
    /** Work of an earlier start has ended once this start ran for the longest deadline and this. */
    duration workMargin = std::chrono::seconds(10);
    allocator_lease_options leases;
    /** The leader names slot allocators. */
    bool assignsAllocators = true;
};

/** Sends and receives heartbeats; published as "membership". The cost at the leader grows with the number of VMs; at
 * 2,800 nodes heartbeats go to an aggregator of each region, which sends the leader one for all. */
class membership_service {
public:
    static absl::StatusOr<std::unique_ptr<membership_service>> create(
        const kernel_hooks& hooks, const vm_settings& settings, membership_options options = {});

    /** The kernel service; it needs "control", "consensus" and "peer_router". */
    service asService();

private:
    struct sent_heartbeat {
        std::uint64_t sequence = 0;
        time_point sentAt {};
    };

    /** How far this leader had applied the log at a moment. */
    struct applied_sample {
        time_point at;
        log_index applied;
    };

    membership_service(const kernel_hooks& hooks, const vm_settings& settings, membership_options options);

    void fillPort();
    absl::Status start(registry& services);
    void tick();
    void proposeStart();
    void stop(std::function<void()> stopped);
    vm_heartbeat makeHeartbeat(const leadership& led);
    void sendHeartbeat();
    void receive(const vm_id& from, const control_message& message);
    heartbeat_answer answerHeartbeat(const vm_heartbeat& heartbeat);
    void noteHeartbeat(const vm_heartbeat& heartbeat);
    /** What a VM must have applied to get a lease now; none while this leader can't tell. */
    std::optional<log_index> requiredIndex() const;
    void noteApplied();
    void leaseRoles(const vm_heartbeat& heartbeat, heartbeat_answer& answer);
    void receiveAnswer(const heartbeat_answer& answer);
    void setAvoided(std::vector<vm_id> avoided);
    void followLeadership(const leadership& led);
    void assignAllocators();
    std::vector<vm_report> reports() const;
    std::vector<vm_id> findAvoided() const;
    std::optional<time_point> allocatorLeaseEnd(const region_id& region) const;
    bool isCaughtUpLeader() const;
    state_dump dump() const;

    kernel_hooks m_hooks;
    vm_settings m_settings;
    membership_options m_options;
    incarnation m_start;
    membership_port m_port;
    control_port* m_control = nullptr;
    consensus_port* m_consensus = nullptr;
    peer_router* m_router = nullptr;
    registry* m_services = nullptr;
    timer_id m_timer;
    bool m_stopping = false;
    bool m_startProposed = false;
    time_point m_startedAt;
    bool m_leavesWork = false;

    // As any VM.
    std::uint64_t m_sequence = 0;
    std::deque<sent_heartbeat> m_sent;
    std::map<allocator_role, time_point> m_roles;
    /** When the last heartbeat that was answered was sent. */
    std::optional<time_point> m_answeredAt;
    std::vector<vm_id> m_avoided;

    // As the leader.
    log_term m_term;
    bool m_ready = false;
    time_point m_leadsSince {};
    allocator_leases m_leases;
    std::map<vm_id, vm_report> m_reports;
    std::map<region_id, time_point> m_assigning;
    std::deque<applied_sample> m_appliedSamples;

    std::vector<std::function<void(vm_heartbeat&)>> m_onSend;
    std::vector<std::function<void(const vm_heartbeat&, heartbeat_answer&)>> m_onHeartbeat;
    std::vector<std::function<void(const heartbeat_answer&, time_point)>> m_onAnswer;
    std::vector<std::function<void()>> m_onAvoided;
};

} // namespace plantainlatch
