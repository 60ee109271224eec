#pragma once

/** \file
 * An immutable table that maps client addresses to sites by longest prefix match.
 *
 * The address blocks are split into disjoint ranges, which two parallel arrays hold in the order of their first
 * addresses. An index by the upper 16 bits of an address narrows the binary search. To update the mapping, a new table
 * is built and the pointer to the old one is replaced.
 */

#include <cstdint>
#include <memory>
#include <vector>

#include "absl/status/statusor.h"
#include "core/strong_id.h"

namespace plantainlatch {

/** Index into the list of sites. */
using site_index = strong_number<struct site_index_tag>;

/** An IPv4 address, the first octet in the most significant bits. */
using client_address = std::uint32_t;

/** A CIDR block: all addresses that share the first `prefixBits` bits with `address`. */
struct client_block {
    client_address address = 0;
    std::uint8_t prefixBits = 0;
    site_index site;
};

class block_table {
public:
    /** Site indexes are stored in 16 bits, and the highest value marks addresses in no block. */
    static constexpr std::size_t maximumSiteCount = 65535;

    /** Returns InvalidArgument for a prefix longer than 32 bits, address bits set beyond the prefix, a duplicate
     * block, or a site index of `maximumSiteCount` or more. */
    static absl::StatusOr<std::unique_ptr<const block_table>> create(std::vector<client_block> blocks);

    /** The site of the block with the longest prefix that contains the address; `fallback` when no block does. */
    site_index find(client_address address, site_index fallback) const;

    std::size_t rangeCount() const { return m_rangeStarts.size(); }
    std::size_t memoryBytes() const;

private:
    block_table() = default;

    void addRange(client_address first, std::uint16_t site);
    void buildIndex();

    /** The first address of each range; a range extends to the start of the next one. */
    std::vector<client_address> m_rangeStarts;
    std::vector<std::uint16_t> m_sites;
    /** For each value of the upper 16 bits of an address, the first range that begins at or after it. */
    std::vector<std::uint32_t> m_index;
};

} // namespace plantainlatch
