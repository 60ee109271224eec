#pragma once

/** \file
 * The identifier types of the system's entities.
 */

#include "core/strong_id.h"

namespace plantainlatch {

/** A VM that runs this system. */
using vm_id = strong_name<struct vm_tag>;

/** Identifies one start of a VM or, in replica_id, one disk of a VM: a VM that has lost its disk returns as a new
 * replica. */
using incarnation = strong_number<struct incarnation_tag>;

using region_id = strong_name<struct region_tag>;
using failure_domain_id = strong_name<struct failure_domain_tag>;
using service_id = strong_name<struct service_tag>;
using route_id = strong_name<struct route_tag>;
/** A client account, whose requests carry its credentials. */
using account_id = strong_name<struct account_tag>;
using upstream_id = strong_name<struct upstream_tag>;

/** One start of one upstream; after a restart it announces a new generation. */
using upstream_generation = strong_number<struct upstream_generation_tag>;

/** The number that an operator gives to a declaration; it only increases. */
using change_number = strong_number<struct change_tag>;

/** A shift of traffic between two failure domains. */
using shift_id = strong_name<struct shift_tag>;

/** The key by which a caller identifies retries of one non-idempotent request. */
using idempotency_key = strong_name<struct idempotency_key_tag>;

/** A hash of what makes requests equal, for comparing them. */
using request_fingerprint = strong_number<struct request_fingerprint_tag>;

/** The IPv4 address of a caller as a number; 0 if it is unknown. */
using caller_address = strong_number<struct caller_address_tag>;

/** One caller request on one VM; unique within an incarnation. */
using request_id = strong_number<struct request_tag>;

/** One attempt to run a request on one upstream; unique within an incarnation. */
using call_id = strong_number<struct call_tag>;

/** The term of a leader of the replicated log. */
using log_term = strong_number<struct log_term_tag>;

/** A position in the replicated log; 0 is before the first entry. */
using log_index = strong_number<struct log_index_tag>;

/** The epoch of a region's slot allocator; a later epoch supersedes all earlier ones. */
using allocator_epoch = strong_number<struct allocator_epoch_tag>;

} // namespace plantainlatch
