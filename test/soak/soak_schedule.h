#pragma once

/** \file
 * Which faults a soak run injects and when, drawn from a seed.
 */

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"

namespace plantainlatch {

enum class soak_fault {
    /** SIGKILL, and a new start when the fault ends. */
    Kill,
    /** SIGTERM, and a new start when the fault ends. */
    Stop,
    /** SIGSTOP, and SIGCONT when the fault ends. */
    Pause,
    /** Bytes between VMs arrive late. */
    DelayPeers,
    /** Bytes of a VM to the others don't arrive; those to it do. */
    CutOneWay,
    /** No byte passes between a VM and the others. */
    CutPeers,
    /** Open connections to upstreams go silent for good. */
    SilenceUpstreams,
    /** An upstream resets new connections. */
    RefuseUpstream,
    /** An upstream's answers end early. */
    TruncateUpstream,
    /** The configuration changes. */
    Change,
};

/** One fault of a run. */
struct soak_event {
    soak_fault fault = soak_fault::Kill;
    /** From the start of the run. */
    duration at {};
    duration lasts {};
    /** The VM that it strikes, from 1. */
    int vm = 1;
    /** The upstream that it strikes, from 1. */
    int upstream = 1;
    duration delay {};
};

/** What a run is made of. */
struct soak_size {
    int vms = 4;
    int upstreams = 6;
    duration length {};
};

/** The events of a seed in the order of their times. Processes of VMs are struck one at a time; faults of the network
 * overlap with these and with each other. */
std::vector<soak_event> drawSchedule(std::uint64_t seed, const soak_size& size);

std::string nameOf(soak_fault fault);

} // namespace plantainlatch
