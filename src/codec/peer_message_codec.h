#pragma once

/** \file
 * Encodes and decodes messages between VMs.
 */

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "model/peer_message.h"

namespace plantainlatch {

std::string encodePeerMessage(const peer_message& message);

/** InvalidArgument for bytes that are not exactly one message. */
absl::StatusOr<peer_message> decodePeerMessage(std::string_view bytes);

} // namespace plantainlatch
