#pragma once

/** \file
 * The fingerprint that tells equal requests from different ones.
 */

#include "core/ids.h"
#include "model/http.h"

namespace plantainlatch {

/** Hashes method, target and body, each with its length; headers take no part, as they differ between resends. */
request_fingerprint fingerprintOf(const caller_request& request);

} // namespace plantainlatch
