#pragma once

/** \file
 * The interface through which front ends register and deregister upstreams.
 */

#include <functional>
#include <optional>

#include "absl/status/status.h"
#include "core/clock.h"
#include "core/ids.h"
#include "model/upstream.h"
#include "ports/caller_check.h"

namespace plantainlatch {

/** Registration of upstreams; each callback is called once. */
struct directory_port {
    /** Registers an upstream or renews its registration. InvalidArgument and PermissionDenied are final; after
     * Unavailable the upstream may try again. */
    std::function<void(upstream_announcement, std::function<void(absl::Status)>)> announce;
    /** Deregisters an upstream that accepts no new requests; this generation can't register again. Without a
     * generation, the one that is registered when this VM has applied all that was committed before the call;
     * Unavailable if that can't be confirmed, or if the sender is gone by then. */
    std::function<void(
        upstream_id, std::optional<upstream_generation>, caller_check, std::function<void(absl::Status)>)>
        leave;
    /** The interval at which an upstream should renew its registration. */
    std::function<duration()> renewalInterval;
};

} // namespace plantainlatch
