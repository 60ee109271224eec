#pragma once

/** \file
 * Helpers for TCP sockets.
 */

#include <cstddef>
#include <cstdint>

#include <netinet/in.h>

#include "model/address.h"

namespace plantainlatch {

/** Converts a numeric IPv4 address. */
sockaddr_in toSocketAddress(const network_address& address);

/** What the operating system holds for the reader of a socket. */
enum class socket_input {
    None,
    Bytes,
    /** The peer has closed or reset the connection, and all bytes before that were read. */
    End,
};

/** Looks at the input of a connected socket without reading it. */
socket_input peekInput(int socket);

/** The IPv4 address of the peer of a connected socket as a number; 0 if it has none. */
std::uint32_t remoteHost(int socket);

/** The maximum number of file descriptors that the process may have open. */
std::size_t maximumDescriptors();

/** Lets the operating system buffer only about so many unread bytes; by default, it buffers up to some megabytes. */
void limitUnread(int socket, std::size_t bytes);

/** Disables Nagle's algorithm, which would delay small messages (TCP_NODELAY). */
void disableNagle(int socket);

/** Sets whether the end of the socket, by close() or with its process, resets the connection. The operating system then
 * drops what it has not delivered, instead of sending it again until it is acknowledged (SO_LINGER). */
void setResetOnClose(int socket, bool resets);

/** Resets the connection at once; the socket stays open. */
void resetConnection(int socket);

} // namespace plantainlatch
