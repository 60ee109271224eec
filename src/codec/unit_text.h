#pragma once

/** \file
 * Parses durations, sizes and rates that are written as a whole number and a unit without a space, such as `250ms`.
 *
 * For any other text the functions return InvalidArgument with a message that says what was expected.
 */

#include <string>

#include "absl/status/statusor.h"
#include "core/clock.h"
#include "core/units.h"

namespace plantainlatch {

/** The units are us, ms, s, min, h and d. */
absl::StatusOr<duration> parseDuration(const std::string& text);

/** The units are B, kB, MB, GB, KiB, MiB and GiB. */
absl::StatusOr<byte_count> parseSize(const std::string& text);

/** The units are bit/s, kbit/s, Mbit/s, Gbit/s, B/s, kB/s, MB/s and GB/s. A rate in bits is rounded down to whole
 * bytes per second. */
absl::StatusOr<bytes_per_second> parseRate(const std::string& text);

} // namespace plantainlatch
