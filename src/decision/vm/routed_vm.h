#pragma once

/** \file
 * The decision services of a VM that steers by routes, with upstreams that refuse with proof; control and entries may
 * be different VMs.
 *
 * It has the same parts as steering_vm but for leased slots, shifts, alerts and the operators of declarations;
 * placement chooses upstreams instead.
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
#include "decision/request/request_service.h"
#include "kernel/kernel.h"

namespace plantainlatch {

/** What may be varied in the decisions of a routed VM. */
struct routed_options {
    consensus_options consensus;
    control_options control;
    membership_options membership;
    directory_options directory;
    placement_options placement;
    request_options requests;
    entry_list_options entryList;
    configuration_options configurations;
};

/** What those who run a system require of it and give it. */
struct routed_bounds {
    /** Repeats of a service's requests within the window, from all VMs together: a share of the requests, and a number
     * beyond it. */
    double retryShare = 0;
    duration retryWindow {};
    double retrySlack = 0;
    /** Requests a second that a cold upstream bears, as a multiple of its rate and a number beyond it. */
    cold_rate_limit cold;
    /** Replicas that may be lost at once; 0 when that is not said. */
    std::size_t replicasThatMayFail = 0;
    /** How often upstreams renew; zero when that is not said. */
    duration renewalInterval {};
};

/** The options that fit routes and upstreams with proof of what they did not run, within the bounds. */
routed_options routedOptionsFor(const routed_bounds& bounds);

/** The decision services of one routed VM; it must outlive the kernel's stop. An entry has "slots" and "requests", and
 * needs "upstreams"; every VM needs "peers", and a replica "storage". */
class routed_vm {
public:
    static absl::StatusOr<std::unique_ptr<routed_vm>> create(
        const kernel_hooks& hooks, const vm_settings& settings, routed_options options);

    /** Adds the services to a kernel that has not started. */
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
    std::unique_ptr<placement_service> m_placement;
    std::unique_ptr<request_service> m_requests;
};

} // namespace plantainlatch
