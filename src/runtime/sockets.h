#pragma once

/** \file
 * What every TCP socket of the program needs.
 */

#include <netinet/in.h>

#include "model/address.h"

namespace plantainlatch {

sockaddr_in toSocketAddress(const network_address& address);

/** Turns Nagle's algorithm off. */
void sendWithoutDelay(int socket);

} // namespace plantainlatch
