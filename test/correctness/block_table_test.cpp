#include <algorithm>
#include <vector>

#include <catch2/catch.hpp>

#include "decision/lookup/block_table.h"
#include "support/paused_runtime.h"

namespace plantainlatch {

namespace {

    class block_table_fixture {
    protected:
        static constexpr std::uint64_t noSite = 9999;

        static client_block block(client_address address, std::uint8_t bits, std::uint64_t site)
        {
            return { address, bits, site_index(site) };
        }

        /** A reference implementation by linear search: the site of the longest prefix that contains the address. */
        static std::uint64_t expected(const std::vector<client_block>& blocks, client_address address)
        {
            int longest = -1;
            std::uint64_t site = noSite;
            for (const client_block& item : blocks) {
                const client_address mask = item.prefixBits == 0 ? 0 : ~client_address { 0 } << (32U - item.prefixBits);
                if ((address & mask) != item.address || item.prefixBits <= longest)
                    continue;
                longest = item.prefixBits;
                site = item.site.value();
            }
            return site;
        }

        std::vector<client_block> randomBlocks(std::size_t count)
        {
            std::vector<client_block> blocks;
            while (blocks.size() < count) {
                const auto bits = static_cast<std::uint8_t>(runtime.random() % 33);
                const client_address mask = bits == 0 ? 0 : ~client_address { 0 } << (32U - bits);
                const client_block item = block(
                    static_cast<client_address>(runtime.random()) & 0xff0300ffU & mask, bits, runtime.random() % 350);
                const auto isSame = [&](const client_block& other) {
                    return other.address == item.address && other.prefixBits == bits;
                };
                if (std::none_of(blocks.begin(), blocks.end(), isSame))
                    blocks.push_back(item);
            }
            return blocks;
        }

        paused_runtime runtime { 42 };
    };

} // namespace

TEST_CASE_METHOD(block_table_fixture, "block_table.random_nested_blocks.match_the_longest_prefix")
{
    for (int round = 0; round < 200; ++round) {
        const std::vector<client_block> blocks = randomBlocks(runtime.random() % 40);
        const auto table = block_table::create(blocks);
        REQUIRE(table.ok());
        for (int i = 0; i < 100; ++i) {
            const auto address = static_cast<client_address>(runtime.random()) & 0xff0300ffU;
            REQUIRE((*table)->find(address, site_index(noSite)).value() == expected(blocks, address));
        }
        for (const client_block& item : blocks) {
            const client_address last
                = item.address + static_cast<client_address>((std::uint64_t { 1 } << (32U - item.prefixBits)) - 1);
            REQUIRE((*table)->find(item.address, site_index(noSite)).value() == expected(blocks, item.address));
            REQUIRE((*table)->find(last, site_index(noSite)).value() == expected(blocks, last));
        }
    }
}

TEST_CASE_METHOD(block_table_fixture, "block_table.no_blocks.return_the_fallback")
{
    const auto table = block_table::create({});
    REQUIRE((*table)->find(0, site_index(7)) == site_index(7));
    REQUIRE((*table)->find(~client_address { 0 }, site_index(7)) == site_index(7));
}

TEST_CASE_METHOD(block_table_fixture, "block_table.malformed_blocks.are_refused")
{
    REQUIRE_FALSE(block_table::create({ block(0, 33, 1) }).ok());
    REQUIRE_FALSE(block_table::create({ block(1, 24, 1) }).ok());
    REQUIRE_FALSE(block_table::create({ block(256, 24, 1), block(256, 24, 2) }).ok());
    REQUIRE_FALSE(block_table::create({ block(256, 24, 65535) }).ok());
}

} // namespace plantainlatch
