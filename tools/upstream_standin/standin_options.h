#pragma once

/** \file
 * How a stand-in upstream behaves.
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

/** How service times spread round their mean. */
enum class time_distribution { Constant, Exponential, Lognormal };

/** What the load endpoint says. */
enum class load_answer {
    Truth,
    /** Always nothing running. */
    Idle,
    /** Always all slots running. */
    Busy,
    /** No answer at all. */
    Silent,
};

/** Where a stand-in is. */
struct standin_place {
    region_id region;
    failure_domain_id failureDomain;
};

/** The behaviour of all stand-ins of one process. */
struct standin_options {
    service_id service;
    std::string idPrefix;
    std::uint32_t count = 1;
    /** Of the first one; the next ones follow on the next ports. */
    network_address firstAddress;
    /** What the first one announces as its address, if it is reached through another one; the next ports follow. */
    std::optional<network_address> announcedAddress;
    /** Taken in turn. */
    std::vector<standin_place> places;
    std::vector<network_address> entries;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    /** Requests that wait for a slot; further ones are shed. */
    std::uint32_t queueLength = 0;
    duration serviceTime {};
    time_distribution distribution = time_distribution::Constant;
    /** How many requests warm a cold start; none for a warm start. */
    std::uint32_t coldRequests = 0;
    /** How many times longer the first request of a cold start takes. */
    double coldFactor = 1;
    std::uint32_t answerBytes = 0;
    load_answer load = load_answer::Truth;
    /** How old the reported load is. */
    duration loadLag {};
    bool healthy = true;
    /** How long it still accepts work after SIGTERM, until the goodbye has spread. */
    duration drainTime {};
    std::string recordFile;
    std::uint64_t seed = 0;
};

command_spec standinCommand();
absl::StatusOr<standin_options> readStandinOptions(const command_line& line);

} // namespace plantainlatch
