#pragma once

/** \file
 * The command-line options of the stand-in upstreams.
 */

#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core/clock.h"
#include "core/ids.h"
#include "model/address.h"
#include "runtime/command_line.h"

namespace plantainlatch {

/** The distribution of service times around their mean. */
enum class time_distribution { Constant, Exponential, Lognormal };

/** What /load reports. */
enum class load_answer {
    Truth,
    /** Always no running requests. */
    Idle,
    /** Always as many running requests as slots. */
    Busy,
    /** No answer at all. */
    Silent,
};

/** The location of a stand-in. */
struct standin_location {
    region_id region;
    failure_domain_id failureDomain;
};

/** The behaviour of all stand-ins of one process. */
struct standin_options {
    service_id service;
    std::string idPrefix;
    std::uint32_t count = 1;
    /** The address of the first stand-in; the others use the ports after it. */
    network_address firstAddress;
    /** The address that the first stand-in announces if it is reached through a proxy; the others announce the ports
     * after it. */
    std::optional<network_address> announcedAddress;
    /** Assigned to the stand-ins round-robin. */
    std::vector<standin_location> locations;
    std::vector<network_address> entries;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    /** The maximum number of requests that wait for a slot; further ones are shed. */
    std::uint32_t queueLength = 0;
    duration serviceTime {};
    time_distribution distribution = time_distribution::Constant;
    /** The number of requests after a start that take longer than the service time; 0 for a warm start. */
    std::uint32_t coldRequests = 0;
    /** The factor on the service time of the first request; it falls linearly to 1 over the cold requests. */
    double coldFactor = 1;
    std::uint32_t answerBytes = 0;
    load_answer load = load_answer::Truth;
    /** The age of the load that /load reports. */
    duration loadLag {};
    bool healthy = true;
    /** How long requests are still accepted after SIGTERM, until all entries know of the deregistration. */
    duration drainTime {};
    std::string recordFile;
    std::uint64_t seed = 0;
};

command_spec standinCommand();
absl::StatusOr<standin_options> readStandinOptions(const command_line& line);

} // namespace plantainlatch
