#pragma once

/** \file
 * The fault schedule of a soak run, generated from a seed.
 */

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"

namespace plantainlatch {

/** The kinds of faults. */
enum class soak_fault {
    /** SIGKILL; the process is restarted when the fault ends. */
    Kill,
    /** SIGTERM; the process is restarted when the fault ends. */
    Stop,
    /** SIGSTOP; SIGCONT when the fault ends. */
    Pause,
    /** Bytes between a VM and the others are delayed, in both directions. */
    DelayPeers,
    /** Bytes from a VM to the others are dropped; bytes to it arrive. */
    CutOneWay,
    /** All bytes between a VM and the others are dropped. */
    CutPeers,
    /** Open connections to upstreams stop passing bytes permanently; new connections work. */
    SilenceUpstreams,
    /** An upstream resets new connections. */
    RefuseUpstream,
    /** An upstream's answers are truncated. */
    TruncateUpstream,
    /** No fault: an operator changes the configuration. */
    Change,
};

/** One fault of a run. */
struct soak_event {
    soak_fault fault = soak_fault::Kill;
    /** The time since the start of the run. */
    duration at {};
    duration length {};
    /** The affected VM, from 1. */
    int vm = 1;
    /** The affected upstream, from 1. */
    int upstream = 1;
    /** The added delay of DelayPeers. */
    duration delay {};
};

/** The size of a run. */
struct soak_size {
    int vms = 4;
    int upstreams = 6;
    duration length {};
};

/** The events of a seed, ordered by time. Faults of VM processes (Kill, Stop, Pause) never overlap with each other;
 * other faults may overlap with these and with each other. */
std::vector<soak_event> generateSchedule(std::uint64_t seed, const soak_size& size);

std::string nameOf(soak_fault fault);

} // namespace plantainlatch
