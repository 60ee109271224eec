#pragma once

/** \file
 * The interface through which the request path charges requests to the quotas of client accounts.
 */

#include <functional>
#include <optional>

#include "core/clock.h"
#include "core/ids.h"

namespace plantainlatch {

/** Whether a request is within its account's quota. */
struct quota_verdict {
    bool admitted = true;
    /** If not, when this VM can be expected to admit a request of the account again. */
    std::optional<duration> retryAfter;
};

/** Published as "quotas" on entries. */
struct quota_port {
    /** Charges one request; an account without a limit admits every request. */
    std::function<quota_verdict(const account_id&)> acquire;
    /** Returns the charge of a request that reached no upstream. */
    std::function<void(const account_id&)> refund;
};

} // namespace plantainlatch
