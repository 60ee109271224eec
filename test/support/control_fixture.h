#pragma once

/** \file
 * A control service on the paused clock with Kurohae's places and services declared, and a log that applies at once.
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

/** Kurohae's regions, links and services under change 1. */
declaration kurohaeDeclaration();

/** An announcement of a booking upstream in kokura. */
upstream_announcement bookingUpstream(const std::string& id, std::uint16_t port);

/** The settings of a VM in a failure domain of a region, one of `vms`. */
vm_record vmRecord(const std::string& id, const std::string& region, const std::string& failureDomain);

/** Base of fixtures: one VM whose log is this process alone. */
class control_fixture {
public:
    control_fixture();

protected:
    /** Applies a command as the log would. */
    command_result apply(control_command command);
    const control_snapshot& state() const { return port().state(); }
    control_port& port() const { return **root->services().find<control_port>(port_names::control); }
    /** Adds a service and starts the kernel with it. */
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
