#pragma once

/** \file
 * The interface through which a front end submits callers' requests.
 */

#include <functional>

#include "core/ids.h"
#include "model/http.h"

namespace plantainlatch {

struct request_port {
    /** Submits a request. The callback receives the answer once, possibly before submit() returns. */
    std::function<request_id(caller_request, std::function<void(caller_answer)>)> submit;
    /** Cancels a request whose caller has disconnected. Its callback is not called any more. Calls in flight are
     * cancelled too, except that a request with a claimed idempotency key and an open attempt is completed. */
    std::function<void(request_id)> cancel;
};

} // namespace plantainlatch
