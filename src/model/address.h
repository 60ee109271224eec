#pragma once

/** \file
 * A numeric IPv4 address with a port.
 */

#include <compare>
#include <cstdint>
#include <string>

#include "absl/status/statusor.h"

namespace plantainlatch {

/** The address at which a process listens; host is a numeric IPv4 address. */
struct network_address {
    std::string host;
    std::uint16_t port = 0;

    friend auto operator<=>(const network_address&, const network_address&) = default;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.host, self.port);
    }
};

/** Parses `192.0.2.1:8080`; InvalidArgument for a name, another form, or port 0. */
absl::StatusOr<network_address> parseAddress(const std::string& text);

/** `host:port`. */
std::string formatAddress(const network_address& address);

} // namespace plantainlatch
