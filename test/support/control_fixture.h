#pragma once

/** \file
 * A fixture with a control service on a simulated clock and a stub of the replicated log that applies commands at once.
 * Also provides the declarations, announcements and VM records that tests share.
 */

#include <memory>
#include <string>

#include "core/findings.h"
#include "decision/control/control_service.h"
#include "kernel/kernel.h"
#include "ports/consensus_port.h"
#include "ports/port_names.h"
#include "support/paused_runtime.h"

namespace plantainlatch {

/** Declaration number 1: three regions with two failure domains each, and two services. */
declaration threeRegionDeclaration();

/** An announcement of an upstream of the service "booking" in the failure domain "kokura". */
upstream_announcement bookingUpstream(const std::string& id, std::uint16_t port);

/** A VM in a failure domain of a region, with defaults for all other fields. */
vm_record vmRecord(const std::string& id, const std::string& region, const std::string& failureDomain);

/** Base of fixtures with one VM, whose consensus_port is a stub without replication. */
class control_fixture {
public:
    control_fixture();

protected:
    /** Applies a command under a new proposal id, as the log would. */
    command_result apply(control_command command);
    const control_snapshot& state() const { return port().state(); }
    control_port& port() const { return **root->services().find<control_port>(port_names::control); }
    /** Starts the kernel with the control service, the stub log and `items`. */
    void startWith(std::vector<service> items);

    paused_runtime runtime { 1 };
    vm_settings settings;
    std::unique_ptr<kernel> root = *kernel::create(runtime.hooks());
    std::unique_ptr<control_service> control;
    consensus_port log;
    leadership led;
    std::vector<std::function<void(const leadership&)>> leadershipListeners;
    std::vector<control_command> proposed;
    std::uint64_t sequence = 0;
    proposal_id lastProposal;
};

} // namespace plantainlatch
