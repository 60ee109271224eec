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

/** Hashes `content`, the fingerprint of the request, with what identifies its caller: the account, the address and the
 * object of the request. A caller that resends a request through another entry has the same ones. */
request_fingerprint callerFingerprintOf(const caller_request& request, request_fingerprint content);

} // namespace plantainlatch
