#pragma once

/** \file
 * The messages between VMs.
 */

#include <variant>

#include "model/consensus_message.h"
#include "model/control_message.h"
#include "model/slot_message.h"

namespace plantainlatch {

/** Any message between VMs. The order of the alternatives is part of the encoding. */
using peer_message = std::variant<consensus_message, slot_message, control_message>;

} // namespace plantainlatch
