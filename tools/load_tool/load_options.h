#pragma once

/** \file
 * The command-line options of the load tool.
 */

#include <array>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core/clock.h"
#include "core/ids.h"
#include "model/address.h"
#include "runtime/command_line.h"

namespace plantainlatch {

/** The kinds of requests in the mix. */
enum class work_kind {
    /** A GET, which can be resent safely. */
    Idempotent,
    /** A POST with an idempotency key, which can be resent safely with the same key. */
    Keyed,
    /** A POST without a key, which is resent only if it is known not to have been executed. */
    Unkeyed,
};

inline constexpr std::size_t workKindCount = 3;

/** The name of the kind in reports. */
std::string workKindName(work_kind kind);

/** The load of one run. */
struct load_options {
    /** The entries that are asked for the first list of entries. */
    std::vector<network_address> entries;
    /** The failure domains of the callers, assigned to requests round-robin; empty for callers of unknown location. */
    std::vector<std::string> near;
    service_id service;
    /** Requests per second. */
    double rate = 0;
    /** How long requests are sent. */
    duration sendDuration {};
    /** Weights, indexed by work_kind. */
    std::array<std::uint32_t, workKindCount> mix {};
    std::string getPath;
    std::string postPath;
    std::uint32_t bodyBytes = 0;
    /** From the scheduled send time to the end of the last try. */
    duration timeout {};
    /** The maximum number of times that one request is sent. */
    std::uint32_t tries = 1;
    std::string jsonFile;
    std::uint64_t seed = 0;
    /** Whether the run fails unless every request was served (see run_report::allServed()). */
    bool requireAll = false;
};

command_spec loadCommand();
absl::StatusOr<load_options> readLoadOptions(const command_line& line);

} // namespace plantainlatch
