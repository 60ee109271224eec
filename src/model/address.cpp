#include "model/address.h"

#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace plantainlatch {

namespace {

    constexpr std::uint32_t maximumOctet = 255;
    constexpr std::uint32_t maximumPort = 65535;

    bool isNumericHost(const std::string& host)
    {
        const std::vector<std::string> octets = absl::StrSplit(host, '.');
        if (octets.size() != 4)
            return false;
        for (const std::string& octet : octets) {
            std::uint32_t value = 0;
            if (!absl::SimpleAtoi(octet, &value) || value > maximumOctet)
                return false;
        }
        return true;
    }

} // namespace

absl::StatusOr<network_address> parseAddress(const std::string& text)
{
    const std::vector<std::string> parts = absl::StrSplit(text, ':');
    std::uint32_t port = 0;
    const bool valid = parts.size() == 2 && isNumericHost(parts[0]) && absl::SimpleAtoi(parts[1], &port) && port > 0
        && port <= maximumPort;
    if (!valid)
        return absl::InvalidArgumentError(absl::StrCat("'", text, "' is not a numeric address with a port"));
    return network_address { parts[0], static_cast<std::uint16_t>(port) };
}

std::string formatAddress(const network_address& address) { return absl::StrCat(address.host, ":", address.port); }

} // namespace plantainlatch
