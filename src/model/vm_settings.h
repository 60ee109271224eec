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

/** A VM of the system: its location, addresses and roles. */
struct vm_record {
    vm_id id;
    region_id region;
    failure_domain_id failureDomain;
    /** The HTTP address for callers, upstreams and operators. */
    network_address callerAddress;
    /** The address for the other VMs. */
    network_address peerAddress;
    /** Whether it has a data folder and is a replica of the control log. */
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
    /** The list holds this VM and seeds, through which the other VMs are discovered. A VM's id is its peer address. */
    Seeded,
};

/** All settings of one VM. */
struct vm_settings {
    vm_record self;
    /** The listed VMs, including this one. */
    std::vector<vm_record> vms;
    membership_mode membership = membership_mode::Listed;
    /** Whether this VM may bootstrap a new log with the other replicas of `vms`. */
    bool mayBootstrapLog = true;
    /** If set, peer connections are not authenticated; otherwise both sides prove that they have the shared key. */
    bool trustedNetwork = false;
    /** The folder in which a replica stores its state; none on other VMs. */
    std::optional<std::string> dataFolder;
    /** The file with the key that all VMs share; at least 32 bytes. */
    std::string sharedKeyFile;
    caller_limits limits;
    /** The memory that the process may use; none if the settings state no limit. */
    std::optional<byte_count> memoryLimit;
    std::string logLevel = "info";
    /** How long callers may cache the list of entries. For the same time, a stopping VM still serves callers (lame
     * duck). */
    duration lookupCacheTime = std::chrono::seconds(2);
};

} // namespace plantainlatch
