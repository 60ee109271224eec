#pragma once

/** \file
 * The immutable table that maps blocks of client addresses to sites, by the longest matching prefix.
 *
 * The blocks are cut into ranges that do not overlap, kept in two parallel arrays in the order of their first
 * addresses, and an index by the upper 16 bits of an address bounds the binary search. A new table is built beside the
 * old one and takes its place with one move of a pointer.
 */

#include <cstdint>
#include <memory>
#include <vector>

#include "absl/status/statusor.h"
#include "core/strong_id.h"

namespace plantainlatch {

/** A site's position in the list of sites. */
using site_index = strong_number<struct site_index_tag>;

/** An IPv4 address, the first octet in the most significant bits. */
using client_address = std::uint32_t;

/** All addresses that share the first `prefixBits` bits with `address`. */
struct client_block {
    client_address address = 0;
    std::uint8_t prefixBits = 0;
    site_index site;
};

/** Maps client addresses to sites; it never changes. */
class block_table {
public:
    /** The most sites that a table takes. */
    static constexpr std::size_t largestSiteCount = 65535;

    /** InvalidArgument for a prefix above 32 bits, address bits behind the prefix, the same block twice, or too many
     * sites. */
    static absl::StatusOr<std::unique_ptr<const block_table>> create(std::vector<client_block> blocks);

    /** The site of the longest block that holds the address; `fallback` when none does. */
    site_index find(client_address address, site_index fallback) const;

    std::size_t rangeCount() const { return m_firsts.size(); }
    /** The bytes of memory that the table takes. */
    std::size_t memoryBytes() const;

private:
    block_table() = default;

    void addRange(client_address first, std::uint16_t site);
    void buildIndex();

    /** The first address of each range; a range ends before the next one's. */
    std::vector<client_address> m_firsts;
    std::vector<std::uint16_t> m_sites;
    /** For each value of the upper 16 bits, the first range that begins at or after it. */
    std::vector<std::uint32_t> m_index;
};

} // namespace plantainlatch
