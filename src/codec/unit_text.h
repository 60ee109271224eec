#pragma once

/** \file
 * Times, sizes and rates as people write them: a whole number and a unit without a space, such as `250ms`.
 */

#include <string>

#include "absl/status/statusor.h"
#include "core/clock.h"
#include "core/units.h"

namespace plantainlatch {

/** Reads `250ms`; the units are us, ms, s, min, h and d. InvalidArgument says what was expected. */
absl::StatusOr<duration> parseDuration(const std::string& text);

/** Reads `1MiB`; the units are B, kB, MB, GB, KiB, MiB and GiB. */
absl::StatusOr<byte_count> parseSize(const std::string& text);

/** Reads `4Gbit/s` or `500MB/s`; the units are bit/s, kbit/s, Mbit/s, Gbit/s, B/s, kB/s, MB/s and GB/s. */
absl::StatusOr<bytes_per_second> parseRate(const std::string& text);

} // namespace plantainlatch
