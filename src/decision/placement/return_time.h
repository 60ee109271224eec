#pragma once

/** \file
 * When callers whose requests were refused for lack of capacity should return.
 */

#include <cstdint>

#include "core/clock.h"

namespace plantainlatch {

/** A Retry-After time for a request that has `remaining` until its deadline, when capacity is expected to be free for
 * it in `wait`. Callers that are refused together would return together and be refused again, so the times are spread:
 * `random` chooses one between the wait and the third of the remaining time that callers are ready to wait. If capacity
 * is expected later than that, it is chosen from the last quarter of that third. */
duration returnTime(duration wait, duration remaining, std::uint64_t random);

} // namespace plantainlatch
