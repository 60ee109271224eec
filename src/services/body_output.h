#pragma once

/** \file
 * Output of shared bodies through libevent.
 */

#include <cstddef>

#include "model/shared_body.h"

struct evbuffer;

namespace plantainlatch {

/** Adds the bytes of a body from position `from` on, without a copy. The buffer shares the body until they are removed
 * from it. */
void addBody(evbuffer* output, const shared_body& body, std::size_t from = 0);

} // namespace plantainlatch
