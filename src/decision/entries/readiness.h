#pragma once

/** \file
 * Whether an entry should get callers.
 */

#include "ports/control_port.h"
#include "ports/membership_port.h"

namespace plantainlatch {

/** Whether this VM may serve: it has a configuration, and all that was accepted before it started. Once true it stays
 * so: a VM that loses the log goes on with what it knows. */
inline bool mayServe(const control_port& control, const membership_port& membership)
{
    return membership.joined() && control.state().config.number > change_number();
}

/** Whether callers should be sent here: it may serve, and is not stopping. */
inline bool isReady(const control_port& control, const membership_port& membership)
{
    return mayServe(control, membership) && !membership.stopping();
}

} // namespace plantainlatch
