/** \file
 * Measures block_table at its required size, 1.3 million blocks and 350 sites: the time to build and to replace a
 * table, its memory, and the lookups per second of one core.
 */

#include <chrono>
#include <cstdio>
#include <random>
#include <set>
#include <vector>

#include "decision/lookup/block_table.h"

namespace {

using namespace plantainlatch;
using clock_type = std::chrono::steady_clock;

constexpr std::size_t blockCount = 1'300'000;
constexpr std::uint64_t siteCount = 350;
constexpr std::size_t lookupCount = 20'000'000;
constexpr std::uint64_t seed = 2026;

/** Random blocks with prefixes of 20 to 28 bits, some of them nested, as in real data. */
std::vector<client_block> makeBlocks()
{
    std::mt19937_64 random(seed);
    std::set<std::pair<client_address, std::uint8_t>> used;
    std::vector<client_block> blocks;
    blocks.reserve(blockCount);
    while (blocks.size() < blockCount) {
        const auto bits = static_cast<std::uint8_t>(20 + random() % 9);
        const client_address address = static_cast<client_address>(random()) & (~client_address { 0 } << (32U - bits));
        if (used.emplace(address, bits).second)
            blocks.push_back({ address, bits, site_index(random() % siteCount) });
    }
    return blocks;
}

double millisecondsSince(clock_type::time_point begun)
{
    return std::chrono::duration<double, std::milli>(clock_type::now() - begun).count();
}

} // namespace

int main()
{
    const std::vector<client_block> blocks = makeBlocks();
    auto begun = clock_type::now();
    auto table = std::move(*block_table::create(blocks));
    const double buildTime = millisecondsSince(begun);

    auto next = std::move(*block_table::create(blocks));
    begun = clock_type::now();
    table.swap(next);
    const double swapTime = millisecondsSince(begun);
    begun = clock_type::now();
    next.reset();
    const double freeTime = millisecondsSince(begun);

    std::mt19937_64 random(seed + 1);
    std::vector<client_address> addresses(1U << 20U);
    for (client_address& address : addresses)
        address = static_cast<client_address>(random());
    std::uint64_t sum = 0;
    begun = clock_type::now();
    for (std::size_t i = 0; i < lookupCount; ++i)
        sum += table->find(addresses[i % addresses.size()], site_index(0)).value();
    const double lookupTime = millisecondsSince(begun);

    std::printf("blocks %zu, sites %llu, ranges %zu\n", blocks.size(), static_cast<unsigned long long>(siteCount),
        table->rangeCount());
    std::printf("build %.1f ms, replace %.6f ms, free the old table %.3f ms\n", buildTime, swapTime, freeTime);
    std::printf("bytes %zu (%.1f MB), %.1f bytes per block\n", table->memoryBytes(),
        static_cast<double>(table->memoryBytes()) / 1e6,
        static_cast<double>(table->memoryBytes()) / static_cast<double>(blocks.size()));
    std::printf("lookups %.2f million per second on one core, %.1f ns each (sum %llu)\n",
        static_cast<double>(lookupCount) / lookupTime / 1e3, lookupTime * 1e6 / static_cast<double>(lookupCount),
        static_cast<unsigned long long>(sum));
    return 0;
}
