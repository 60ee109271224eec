#pragma once

/** \file
 * What load the tool makes.
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

/** The kinds of work in the mix. */
enum class work_kind {
    /** A GET: it may be sent again. */
    Idempotent,
    /** A POST with an idempotency key: it may be sent again with the same key. */
    Keyed,
    /** A POST without a key: it is sent once. */
    Unkeyed,
};

inline constexpr std::size_t workKindCount = 3;

/** The kind as it stands in options and reports. */
std::string workKindName(work_kind kind);

/** All of one run's load. */
struct load_options {
    /** Where to ask for the list of entries first. */
    std::vector<network_address> entries;
    /** The failure domains that the callers are near to, in turn; an empty one for callers of unknown place. */
    std::vector<std::string> near;
    service_id service;
    /** Requests a second. */
    double rate = 0;
    duration length {};
    /** Weights by kind. */
    std::array<std::uint32_t, workKindCount> mix {};
    std::string getPath;
    std::string postPath;
    std::uint32_t bodyBytes = 0;
    /** From the intended send time to the end of the last try. */
    duration timeout {};
    /** The most times that one request is sent. */
    std::uint32_t tries = 1;
    std::string jsonFile;
    std::uint64_t seed = 0;
    /** Whether a request without its own complete answer makes the run fail. */
    bool requireAll = false;
};

command_spec loadCommand();
absl::StatusOr<load_options> readLoadOptions(const command_line& line);

} // namespace plantainlatch
