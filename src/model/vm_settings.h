#pragma once

/** \file
 * The settings of one VM, as read from its file and checked.
 */

#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/units.h"
#include "model/address.h"

namespace plantainlatch {

/** A VM of the system: where it is and how to reach it. */
struct vm_record {
    vm_id id;
    region_id region;
    failure_domain_id failureDomain;
    /** Where callers, upstreams and operators reach it, over HTTP. */
    network_address callerAddress;
    /** Where the other VMs reach it. */
    network_address peerAddress;
    /** Whether it has a data folder and holds a copy of the control state. */
    bool replica = false;
    /** Whether callers may be sent to it. */
    bool entry = true;

    friend bool operator==(const vm_record&, const vm_record&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.id, self.region, self.failureDomain, self.callerAddress, self.peerAddress, self.replica, self.entry);
    }
};

/** Limits on what callers may send. */
struct caller_limits {
    byte_count maximumHeaders { 16 * 1024 };
    byte_count maximumBody { 1024 * 1024 };
};

/** Whether VMs that the settings don't list may take part. */
enum class membership_mode {
    /** The list of VMs is complete. */
    Listed,
    /** The list has this VM and seeds; others are found through them. A VM's name is its peer address. */
    Seeded,
};

/** All settings of one VM. */
struct vm_settings {
    vm_record self;
    /** The VMs that are known beforehand, this one among them. */
    std::vector<vm_record> vms;
    membership_mode membership = membership_mode::Listed;
    /** Whether this VM may help to found a new log with the other replicas of `vms`. */
    bool mayBootstrapLog = true;
    /** VMs trust whoever reaches their peer address, instead of proving that they have the shared key. */
    bool trustedNetwork = false;
    /** Where a replica keeps its state; none on other VMs. */
    std::optional<std::string> dataFolder;
    /** The file with the key that the VMs share; at least 32 bytes. */
    std::string sharedKeyFile;
    caller_limits limits;
    std::string logLevel = "info";
    /** How long callers may cache the list of entries; a stopping VM serves for as long. */
    duration lookupCacheTime = std::chrono::seconds(2);
};

} // namespace plantainlatch
