#pragma once

/** \file
 * Proposes the start or end of a drain on behalf of a sender that may have given up.
 *
 * An order can be read long after it was sent, for instance by a VM that was suspended, when its sender has been
 * answered by another VM and has given later orders. Two checks together keep it from overriding them. The proposal
 * names the last order that this VM has applied, so it changes nothing if a later one is applied first. If this VM has
 * applied that one already, the sender closed its connection before it gave that order, and this VM finds the
 * connection closed. No clock is involved, and the VM need not notice that it was suspended.
 */

#include <functional>

#include "absl/status/statusor.h"
#include "core/clock.h"
#include "ports/caller_check.h"
#include "ports/consensus_port.h"
#include "ports/control_port.h"

namespace plantainlatch {

/** The ports that an order needs, and the time limit for each proposal. */
struct drain_order_parts {
    consensus_port* consensus = nullptr;
    control_port* control = nullptr;
    duration timeout {};
};

/** Proposes the order. If this VM has not applied an earlier order for the target yet, it catches up and tries once
 * more. Unavailable: nothing was changed, because the sender is gone or a later order was accepted. Otherwise as
 * consensus_port::propose. */
void proposeDrain(const drain_order_parts& parts, const set_drain& order, const caller_check& senderWaits,
    const std::function<void(absl::StatusOr<command_result>)>& done);

} // namespace plantainlatch
