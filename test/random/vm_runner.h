#pragma once

/** \file
 * Randomised runs: many whole VMs in one process on a paused clock, under faults of every kind, alone, together and
 * twice. Promises are checked at every step, and once the faults end the system must work again.
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

/** One randomised run. */
struct run_plan {
    std::uint64_t seed = 1;
    int vms = 7;
    int replicas = 5;
    /** How long faults go on. */
    duration faultTime = std::chrono::seconds(40);
    /** After the faults the system must be whole within this. */
    duration healTime = std::chrono::seconds(40);
    /** The decisions of each VM; tests break one of their mechanisms. */
    steering_options options;
};

/** How a run ended. */
struct run_result {
    /** The broken invariant; empty when all held. */
    std::string violation;
    std::uint64_t hash = 0;
    std::uint64_t completed = 0;
    std::vector<std::string> trace;
};

/** Runs one plan; equal plans give equal results. */
run_result runVms(const run_plan& plan);

} // namespace plantainlatch
