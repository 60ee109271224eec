#pragma once

/** \file
 * The names and numbers by which the parts of the system refer to things.
 */

#include "core/strong_id.h"

namespace plantainlatch {

/** A VM of the system's own. */
using vm_id = strong_name<struct vm_tag>;

/** One start of one VM with one disk; a VM that lost its disk comes back under a new incarnation. */
using incarnation = strong_number<struct incarnation_tag>;

using region_id = strong_name<struct region_tag>;
using failure_domain_id = strong_name<struct failure_domain_tag>;
using service_id = strong_name<struct service_tag>;
using route_id = strong_name<struct route_tag>;
using upstream_id = strong_name<struct upstream_tag>;

/** One start of one upstream; an upstream that comes back at the same address announces a new one. */
using upstream_generation = strong_number<struct upstream_generation_tag>;

/** The number that an operator gives a declaration; it only rises. */
using change_number = strong_number<struct change_tag>;

/** A shift of traffic between two failure domains. */
using shift_id = strong_name<struct shift_tag>;

/** The key by which a caller names one piece of non-idempotent work. */
using idempotency_key = strong_name<struct idempotency_key_tag>;

/** A hash of method, target and body that tells equal requests from different ones. */
using request_fingerprint = strong_number<struct request_fingerprint_tag>;

/** One caller request on one VM; unique within an incarnation. */
using request_id = strong_number<struct request_tag>;

/** One attempt to run a request on one upstream; unique within an incarnation. */
using call_id = strong_number<struct call_tag>;

/** The term of a leader of the replicated log. */
using log_term = strong_number<struct log_term_tag>;

/** A position in the replicated log; 0 is before the first entry. */
using log_index = strong_number<struct log_index_tag>;

/** The epoch of a region's slot allocator; a later one replaces all earlier ones. */
using allocator_epoch = strong_number<struct allocator_epoch_tag>;

} // namespace plantainlatch
