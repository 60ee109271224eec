#pragma once

/** \file
 * Randomised simulation of several complete VMs in one process on a simulated clock. Faults of every kind are injected,
 * some of them at the same time. Invariants are checked at every step. After the faults have ended, the system must
 * recover and serve requests again within a bounded time.
 */

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "decision/vm/steering_vm.h"
#include "fake_callers.h"
#include "fake_operators.h"
#include "support/fake_disk.h"
#include "support/fake_network.h"

namespace plantainlatch {

/** The parameters of one randomised run. */
struct run_plan {
    std::uint64_t seed = 1;
    int vms = 7;
    int replicas = 5;
    /** How long faults are injected. */
    duration faultTime = std::chrono::seconds(40);
    /** The time limit for full recovery after the faults have ended. */
    duration recoveryTime = std::chrono::seconds(40);
    /** The options of the decision services of every VM; a test can disable one of their mechanisms here. */
    steering_options options;
};

/** The result of a run. */
struct run_result {
    /** The violated invariant; empty when all held. */
    std::string violation;
    /** The hash of all recorded events; equal seeds give equal hashes. */
    std::uint64_t hash = 0;
    /** The number of answers with outcome Completed or Replayed. */
    std::uint64_t completed = 0;
    /** The latest faults, then the latest events. */
    std::vector<std::string> trace;
};

/** Runs one plan; the run is deterministic, so equal plans give equal results. */
run_result runVms(const run_plan& plan);

} // namespace plantainlatch
