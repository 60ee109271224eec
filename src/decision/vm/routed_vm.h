#pragma once

/** \file
 * Assembles the decision services of one VM that routes requests by a configured route table. An upstream that refuses
 * a request reports that it did not execute it. Entries and the replicas of the control state may be different VMs.
 *
 * Compared with steering_vm, it has no leased slots, traffic shifts, alerts or declarations. The placement service
 * selects the upstream of each request, and the configuration service takes whole configurations from operators.
 */

#include <memory>

#include "absl/status/statusor.h"
#include "decision/consensus/consensus_service.h"
#include "decision/control/change_log.h"
#include "decision/control/control_service.h"
#include "decision/directory/directory_service.h"
#include "decision/entries/entry_list_service.h"
#include "decision/membership/membership_service.h"
#include "decision/operators/configuration_service.h"
#include "decision/peers/peer_router.h"
#include "decision/placement/placement_service.h"
#include "decision/quotas/quota_service.h"
#include "decision/request/request_service.h"
#include "kernel/kernel.h"

namespace plantainlatch {

/** The options of all decision services of a routed VM. */
struct routed_options {
    consensus_options consensus;
    control_options control;
    membership_options membership;
    directory_options directory;
    placement_options placement;
    request_options requests;
    entry_list_options entryList;
    configuration_options configurations;
    quota_division_options quotas;
};

/** Limits and system properties that operators set for a routed VM. */
struct routed_bounds {
    /** The retry budget of each service, over all VMs together: within `retryWindow`, retries may be at most
     * `retryShare` of the requests plus `retrySlack`. */
    double retryShare = 0;
    duration retryWindow {};
    double retrySlack = 0;
    /** The limit on requests per second to a cold upstream: a multiple of the service's cold rate plus a constant. */
    cold_rate_limit cold;
    /** Requests by which an account may exceed its quota within a window, over all VMs together. */
    double quotaSlack = 0;
    /** The share of a quota by which an account may exceed it within a window, over all VMs together. */
    double quotaOvershoot = 0;
    /** The number of replicas that may fail at the same time; 0 if not set. */
    std::size_t replicasThatMayFail = 0;
    /** The interval at which upstreams renew their registration; zero if not set. */
    duration renewalInterval {};
    /** If set, a removed credential is refused by every entry after this time, also by those without contact with the
     * leader, which then refuse all requests that need one. */
    std::optional<duration> revocationTime;
};

/** The options for a routed VM within the given bounds. */
routed_options routedOptionsFor(const routed_bounds& bounds);

/** The decision services of one routed VM; they must not be destroyed before the kernel has stopped. An entry provides
 * "slots" and "requests" and depends on "upstreams"; every VM depends on "peers", and a replica also on "storage". */
class routed_vm {
public:
    static absl::StatusOr<std::unique_ptr<routed_vm>> create(
        const kernel_hooks& hooks, const vm_settings& settings, routed_options options);

    /** Adds the services to a kernel, which must not have started yet. */
    void addTo(kernel& core);

private:
    routed_vm() = default;

    std::unique_ptr<change_log> m_changes;
    std::unique_ptr<peer_router> m_router;
    std::unique_ptr<control_service> m_control;
    std::unique_ptr<consensus_service> m_consensus;
    std::unique_ptr<membership_service> m_membership;
    std::unique_ptr<directory_service> m_directory;
    std::unique_ptr<entry_list_service> m_entryList;
    std::unique_ptr<configuration_service> m_configurations;
    std::unique_ptr<quota_service> m_quotas;
    std::unique_ptr<placement_service> m_placement;
    std::unique_ptr<request_service> m_requests;
};

} // namespace plantainlatch
