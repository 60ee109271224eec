#pragma once

/** \file
 * Service registration: accepts announcements of upstreams, proposes changes of the directory to the replicated log,
 * and forwards renewals to the VM that tracks them.
 */

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "absl/status/statusor.h"
#include "decision/control/apply_directory.h"
#include "decision/directory/liveness_tracker.h"
#include "kernel/hooks.h"
#include "kernel/service.h"
#include "model/vm_settings.h"
#include "ports/consensus_port.h"
#include "ports/control_port.h"
#include "ports/directory_port.h"
#include "ports/liveness_port.h"
#include "ports/membership_port.h"

namespace plantainlatch {

class peer_router;

/** Which VM tracks the renewals of upstreams and removes an upstream whose renewals have stopped. */
enum class renewal_owner {
    /** The slot allocator of the upstream's region. */
    Allocator,
    /** The leader of the log, for all regions. */
    Leader,
};

/** Options of directory_service. */
struct directory_options {
    duration renewalInterval = std::chrono::seconds(1);
    /** An upstream gets no new requests when it has not been renewed for this long. */
    duration silenceTimeout = std::chrono::seconds(3);
    /** An upstream is removed from the directory when it has not been renewed for this long. */
    duration removalTimeout = std::chrono::seconds(10);
    /** The minimum time between changes of the announced slots or connections of one generation. */
    duration changeInterval = std::chrono::seconds(5);
    duration proposalTimeout = std::chrono::seconds(2);
    renewal_owner renewalOwner = renewal_owner::Allocator;
    /** Must equal the rules of the control state. */
    directory_rules rules;
};

/** Handles announcements of upstreams; published as "directory" and "liveness". */
class directory_service {
public:
    static absl::StatusOr<std::unique_ptr<directory_service>> create(
        const kernel_hooks& hooks, const vm_settings& settings, directory_options options = {});

    /** The kernel service; it depends on "control", "consensus", "membership" and "peer_router". */
    service asService();

private:
    using answer = std::function<void(absl::Status)>;

    /** A join that is being committed to the log, with the callbacks that wait for its result. */
    struct pending_join {
        upstream_announcement offered;
        std::vector<answer> waiting;
    };

    directory_service(const kernel_hooks& hooks, const vm_settings& settings, directory_options options);

    absl::Status start(registry& services);
    void announce(const upstream_announcement& offered, const answer& done);
    void join(const upstream_announcement& offered, const answer& done);
    void finishJoin(std::uint64_t number, const absl::StatusOr<command_result>& result);
    /** The VM that tracks the renewals of a region's upstreams; empty while there is none. */
    vm_id renewalOwnerOf(const region_id& region) const;
    /** Deregisters the generation that is registered once everything committed before the call is applied here. */
    void leaveOnceCaughtUp(const upstream_id& id, const caller_check& senderWaits, const answer& done);
    void leave(const upstream_id& id, upstream_generation generation, const answer& done);
    bool isRenewal(const upstream_announcement& offered) const;
    void forward(const upstream_announcement& offered);
    void recordJoins();
    void tick();
    void updateTrackedRegions();
    void removeExpired();
    std::optional<time_point> lastSeen(const upstream_id& id);
    state_dump dump() const;

    kernel_hooks m_hooks;
    vm_id m_self;
    directory_options m_options;
    directory_port m_port;
    liveness_port m_livenessPort;
    control_port* m_control = nullptr;
    consensus_port* m_consensus = nullptr;
    membership_port* m_membership = nullptr;
    peer_router* m_router = nullptr;
    timer_id m_timer;
    liveness_tracker m_liveness;
    std::map<std::uint64_t, pending_join> m_joining;
    std::uint64_t m_lastJoin = 0;
    std::set<upstream_id> m_removing;
    /** When each upstream joined, for the joins that were recorded in m_liveness as announcements. */
    std::map<upstream_id, wall_time> m_recordedJoins;
};

} // namespace plantainlatch
