#pragma once

/** \file
 * Cluster membership by heartbeats: every VM sends heartbeats to the leader. From them the leader derives which VMs are
 * alive, assigns the allocator role of each region and grants its holder a lease.
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

/** Options of membership_service. */
struct membership_options {
    duration heartbeatInterval = std::chrono::milliseconds(500);
    /** The leader considers a VM dead when it has received no heartbeat from it for this long. */
    duration deadAfter = std::chrono::seconds(2);
    /** A VM has lost contact with the leader when no heartbeat that it sent within this time was answered. */
    duration leaderContactTimeout = std::chrono::milliseconds(1500);
    duration proposalTimeout = std::chrono::seconds(2);
    /** A VM gets role leases only if it has applied all log entries that the leader had applied this long ago. */
    duration appliedLag = std::chrono::milliseconds(400);
    /** Enforces appliedLag; only tests turn it off. */
    bool leasesNeedApplied = true;
    /** How long a stopping VM waits for its stop to be committed to the log. */
    duration stopTimeout = std::chrono::seconds(1);
    /** All requests of this VM's earlier incarnations have ended once this incarnation has run for the longest deadline
     * of any service plus this margin. */
    duration earlierWorkMargin = std::chrono::seconds(10);
    allocator_lease_options leases;
    /** The leader assigns slot allocators to the regions. */
    bool assignsAllocators = true;
};

/** Sends and receives heartbeats; published as "membership". The leader's load grows linearly with the number of VMs.
 * For 2,800 VMs, each region would need an aggregator that sends the leader one heartbeat for all of its VMs. */
class membership_service {
public:
    static absl::StatusOr<std::unique_ptr<membership_service>> create(
        const kernel_hooks& hooks, const vm_settings& settings, membership_options options = {});

    /** The kernel service; it depends on "control", "consensus" and "peer_router". */
    service asService();

private:
    struct sent_heartbeat {
        std::uint64_t sequence = 0;
        time_point sentAt {};
    };

    /** The log index that this leader had applied at a point in time. */
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
    vm_heartbeat makeHeartbeat(const leadership& leadershipState);
    void sendHeartbeat();
    void receive(const vm_id& from, const control_message& message);
    heartbeat_answer answerHeartbeat(const vm_heartbeat& heartbeat);
    void noteHeartbeat(const vm_heartbeat& heartbeat);
    /** The index up to which a VM must have applied the log to get a lease now; none while this leader has not caught
     * up. */
    std::optional<log_index> requiredAppliedIndex() const;
    void sampleApplied();
    void grantRoleLeases(const vm_heartbeat& heartbeat, heartbeat_answer& answer);
    void receiveAnswer(const heartbeat_answer& answer);
    void setAvoided(std::vector<vm_id> avoided);
    void onLeadership(const leadership& leadershipState);
    void updateLeadership(const leadership& leadershipState);
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
    bool m_hasUnfinishedWork = false;

    // State that every VM uses.
    std::uint64_t m_sequence = 0;
    std::deque<sent_heartbeat> m_sent;
    std::map<allocator_role, time_point> m_roles;
    /** When the latest heartbeat that the leader answered was sent. */
    std::optional<time_point> m_lastLeaderContact;
    std::vector<vm_id> m_avoided;

    // State that only the leader uses.
    log_term m_term;
    vm_id m_lastLeader;
    bool m_isCaughtUp = false;
    time_point m_leaderSince {};
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
