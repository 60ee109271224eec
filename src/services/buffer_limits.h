#pragma once

/** \file
 * How many bytes a VM holds for others at most, derived from the memory that its process may use.
 */

#include <optional>
#include <string>

#include "core/units.h"
#include "kernel/hooks.h"
#include "model/vm_settings.h"

namespace plantainlatch {

/** The sizes of the rooms of a buffer_budget. */
struct buffer_budget_limits {
    /** For holdings above buffer_budget::maximumSmall, and for small ones while the room for those is full. */
    byte_count large;
    /** For small holdings only, so that large ones can't use it up. */
    byte_count small;
    /** For an upstream's answer that has no room elsewhere. It has the size of the largest one, so that a request whose
     * own body fills the room still gets its answer. */
    byte_count answer {};
    /** For messages between VMs only, so that callers can't use it up. */
    byte_count peers {};
    /** For what the connections of the servers take without their requests. */
    byte_count connections { 1024 * 1024 };
};

/** The maximum size of an answer's header fields and body that is accepted from an upstream. */
inline constexpr byte_count maximumAnswerHead { 64 * 1024 };
inline constexpr byte_count maximumAnswerBody { 8 * 1024 * 1024 };

/** The limits for a process that may use so much memory; the default of 1 GiB applies if that is not known. */
buffer_budget_limits bufferLimitsFor(std::optional<byte_count> memoryLimit);

/** The least memory with which a VM has room for one request of the largest size that `limits` allow. */
byte_count memoryNeededFor(const caller_limits& limits);

/** A warning that says what memory is needed, if the process may use too little for the largest request that `limits`
 * allow. Such a VM serves smaller requests, and refuses larger ones. */
std::optional<log_event> checkMemory(std::optional<byte_count> memoryLimit, const caller_limits& limits);

/** The largest configuration that a VM with so much memory accepts. Each VM holds several copies of a configuration
 * while it takes effect. */
byte_count maximumConfiguration(std::optional<byte_count> memoryLimit);

} // namespace plantainlatch
