#pragma once

/** \file
 * Helpers for TCP sockets.
 */

#include <netinet/in.h>

#include "model/address.h"

namespace plantainlatch {

/** Converts a numeric IPv4 address. */
sockaddr_in toSocketAddress(const network_address& address);

/** Disables Nagle's algorithm, which would delay small messages (TCP_NODELAY). */
void disableNagle(int socket);

} // namespace plantainlatch
