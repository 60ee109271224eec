#pragma once

/** \file
 * Assembles the decision services of one VM that assigns requests to leased slots of the upstreams.
 *
 * The services for network and disk ("peers", "upstreams", and "storage" on a replica) are added separately: the real
 * ones by `serve`, fakes by tests. The decision services are the same in both.
 */

#include <memory>

#include "absl/status/statusor.h"
#include "decision/alerts/alert_service.h"
#include "decision/consensus/consensus_service.h"
#include "decision/control/control_service.h"
#include "decision/directory/directory_service.h"
#include "decision/entries/entry_list_service.h"
#include "decision/membership/membership_service.h"
#include "decision/operators/operator_service.h"
#include "decision/peers/peer_router.h"
#include "decision/request/request_service.h"
#include "decision/shifts/shift_service.h"
#include "decision/slots/slot_service.h"
#include "kernel/kernel.h"
#include "model/vm_settings.h"

namespace plantainlatch {

/** The options of all decision services of a VM. */
struct steering_options {
    consensus_options consensus;
    control_options control;
    membership_options membership;
    directory_options directory;
    shift_options shifts;
    slot_options slots;
    request_options requests;
    operator_options operators;
    alert_options alerts;
    entry_list_options entryList;
};

/** The decision services of one VM; they must not be destroyed before the kernel has stopped. */
class steering_vm {
public:
    /** Creates all decision services; returns InvalidArgument if one of them rejects the settings. */
    static absl::StatusOr<std::unique_ptr<steering_vm>> create(
        const kernel_hooks& hooks, const vm_settings& settings, steering_options options = {});

    /** Adds the services to a kernel, which must not have started yet. */
    void addTo(kernel& core);

    const request_service& requests() const { return *m_requests; }

private:
    steering_vm() = default;

    std::unique_ptr<peer_router> m_router;
    std::unique_ptr<control_service> m_control;
    std::unique_ptr<consensus_service> m_consensus;
    std::unique_ptr<membership_service> m_membership;
    std::unique_ptr<directory_service> m_directory;
    std::unique_ptr<shift_service> m_shifts;
    std::unique_ptr<slot_service> m_slots;
    std::unique_ptr<request_service> m_requests;
    std::unique_ptr<entry_list_service> m_entryList;
    std::unique_ptr<operator_service> m_operators;
    std::unique_ptr<alert_service> m_alerts;
};

} // namespace plantainlatch
