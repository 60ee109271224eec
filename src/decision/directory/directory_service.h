#pragma once

/** \file
 * The service that takes announcements of upstreams, enters changes into the log and passes renewals to the allocator.
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

/** Which VM keeps the renewals of upstreams and takes the silent ones out. */
enum class renewal_owner {
    /** The slot allocator of the upstream's region. */
    Allocator,
    /** The leader of the log, for all regions. */
    Leader,
};

/** What may be varied in directory_service. */
struct directory_options {
    duration renewalInterval = std::chrono::seconds(1);
    /** An upstream that was not heard of for this long gets no new work. */
    duration silenceTimeout = std::chrono::seconds(3);
    /** An upstream that was not heard of for this long leaves the directory. */
    duration removalTimeout = std::chrono::seconds(10);
    /** One generation's slots or connections change at most this often. */
    duration changeInterval = std::chrono::seconds(5);
    duration proposalTimeout = std::chrono::seconds(2);
    renewal_owner renewalOwner = renewal_owner::Allocator;
    /** The same as those of the control state. */
    directory_rules rules;
};

/** Announcements of upstreams; published as "directory" and "liveness". */
class directory_service {
public:
    static absl::StatusOr<std::unique_ptr<directory_service>> create(
        const kernel_hooks& hooks, const vm_settings& settings, directory_options options = {});

    /** The kernel service; it needs "control", "consensus", "membership" and "peer_router". */
    service asService();

private:
    using answer = std::function<void(absl::Status)>;

    /** A join that waits for the log, with those who want its result. */
    struct pending_join {
        upstream_announcement offered;
        std::vector<answer> waiting;
    };

    directory_service(const kernel_hooks& hooks, const vm_settings& settings, directory_options options);

    absl::Status start(registry& services);
    void announce(const upstream_announcement& offered, const answer& done);
    void join(const upstream_announcement& offered, const answer& done);
    void finishJoin(std::uint64_t number, const absl::StatusOr<command_result>& result);
    /** The VM that keeps the renewals of a region; empty while there is none. */
    vm_id keeperOf(const region_id& region) const;
    void leave(const upstream_id& id, upstream_generation generation, const answer& done);
    bool isRenewal(const upstream_announcement& offered) const;
    void passOn(const upstream_announcement& offered);
    void noteJoins();
    void tick();
    void followRoles();
    void removeSilent();
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
    /** When each upstream joined, as far as it was noted as heard of. */
    std::map<upstream_id, wall_time> m_notedJoins;
};

} // namespace plantainlatch
