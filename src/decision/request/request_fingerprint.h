#pragma once

/** \file
 * A hash by which requests are compared.
 */

#include "core/ids.h"
#include "model/http.h"

namespace plantainlatch {

/** Hashes method, target and body, each with its length. Headers are excluded because they differ when a caller resends
 * a request. */
request_fingerprint fingerprintOf(const caller_request& request);

} // namespace plantainlatch
