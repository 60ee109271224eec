#pragma once

/** \file
 * One complete VM of a randomised run. Its disk outlives its processes, which are started and killed repeatedly.
 */

#include <memory>

#include "decision/vm/steering_vm.h"
#include "fake_callers.h"
#include "fake_upstreams.h"
#include "ports/port_names.h"
#include "support/fake_disk.h"
#include "support/fake_network.h"

namespace plantainlatch {

/** The objects that the processes of all VMs of a run share. */
struct simulation_context {
    paused_runtime& runtime;
    fake_network& network;
    fake_upstreams& upstreams;
    const std::vector<vm_record>& records;
    const steering_options& options;
};

/** A VM and its current process, if one runs. */
struct simulated_vm {
    vm_record record;
    std::unique_ptr<fake_disk> disk;

    process_lifetime life;
    peer_port peers;
    storage_port storage;
    upstream_port calls;
    std::unique_ptr<steering_vm> decisions;
    std::unique_ptr<kernel> core;
    consensus_port* log = nullptr;
    control_port* control = nullptr;
    directory_port* directory = nullptr;
    request_port* requests = nullptr;
    shift_port* shifts = nullptr;
    /** The highest applied index and configuration number seen in this process. */
    log_index highestApplied;
    change_number highestNumber;
    bool stopping = false;

    bool running() const { return life != nullptr; }
    /** Starts a process; fails with the status of the first service that does not start. */
    absl::Status start(const simulation_context& context);
    /** Kills the process; writes that it has not synced may be lost. */
    void kill();

private:
    absl::Status startServices();
};

} // namespace plantainlatch
