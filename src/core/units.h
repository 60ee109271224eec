#pragma once

/** \file
 * Quantities other than time, each a type of its own.
 */

#include "core/strong_id.h"

namespace plantainlatch {

/** A number of bytes. */
using byte_count = strong_number<struct byte_count_tag>;

/** A rate in bytes per second. */
using bytes_per_second = strong_number<struct bytes_per_second_tag>;

/** How many requests an upstream can run at once. */
using slot_count = strong_number<struct slot_count_tag>;

} // namespace plantainlatch
