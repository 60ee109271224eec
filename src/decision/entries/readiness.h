#pragma once

/** \file
 * Readiness of an entry for requests of callers.
 */

#include "ports/control_port.h"
#include "ports/membership_port.h"

namespace plantainlatch {

/** Whether this VM may serve requests: it has applied a configuration and all log entries committed before its start.
 * Once true, this stays true: a VM that loses contact with the log keeps serving with its last known state. */
inline bool mayServe(const control_port& control, const membership_port& membership)
{
    return membership.joined() && control.state().config.number > change_number();
}

/** Whether callers should be directed to this VM: it may serve and is not stopping. */
inline bool isReady(const control_port& control, const membership_port& membership)
{
    return mayServe(control, membership) && !membership.stopping();
}

} // namespace plantainlatch
