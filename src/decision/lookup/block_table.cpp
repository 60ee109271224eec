#include "decision/lookup/block_table.h"

#include <algorithm>
#include <limits>
#include <tuple>

#include "absl/strings/str_cat.h"

namespace plantainlatch {

namespace {

    constexpr unsigned addressBits = 32;
    constexpr unsigned indexBits = 16;
    constexpr std::size_t indexSize = (std::size_t { 1 } << indexBits) + 1;
    /** The site of ranges that are in no block. */
    constexpr std::uint16_t noSite = std::numeric_limits<std::uint16_t>::max();

    std::uint64_t blockSize(const client_block& block)
    {
        return std::uint64_t { 1 } << (addressBits - block.prefixBits);
    }

    std::uint64_t blockEnd(const client_block& block) { return block.address + blockSize(block); }

    absl::Status checkBlock(const client_block& block)
    {
        const std::string blockText = absl::StrCat(block.address, "/", static_cast<int>(block.prefixBits));
        if (block.prefixBits > addressBits)
            return absl::InvalidArgumentError(absl::StrCat("block ", blockText, " has more than 32 prefix bits"));
        if ((block.address & (blockSize(block) - 1)) != 0)
            return absl::InvalidArgumentError(
                absl::StrCat("block ", blockText, " has address bits set beyond its prefix"));
        if (block.site.value() >= block_table::maximumSiteCount)
            return absl::InvalidArgumentError(absl::StrCat("block ", blockText, " has a site index above the maximum"));
        return absl::OkStatus();
    }

    bool precedes(const client_block& left, const client_block& right)
    {
        return std::tie(left.address, left.prefixBits) < std::tie(right.address, right.prefixBits);
    }

    absl::Status checkBlocks(const std::vector<client_block>& sorted)
    {
        for (std::size_t i = 0; i < sorted.size(); ++i) {
            absl::Status status = checkBlock(sorted[i]);
            if (!status.ok())
                return status;
            const bool isSame = i > 0 && !precedes(sorted[i - 1], sorted[i]);
            if (isSame)
                return absl::InvalidArgumentError(absl::StrCat(
                    "block ", sorted[i].address, "/", static_cast<int>(sorted[i].prefixBits), " is a duplicate"));
        }
        return absl::OkStatus();
    }

} // namespace

absl::StatusOr<std::unique_ptr<const block_table>> block_table::create(std::vector<client_block> blocks)
{
    std::sort(blocks.begin(), blocks.end(), precedes);
    const absl::Status status = checkBlocks(blocks);
    if (!status.ok())
        return status;
    std::unique_ptr<block_table> table(new block_table);
    table->addRange(0, noSite);
    // The blocks that contain the current address, each nested in the one before it.
    std::vector<client_block> enclosing;
    const auto closeBlocksUpTo = [&](std::uint64_t address) {
        while (!enclosing.empty() && blockEnd(enclosing.back()) <= address) {
            const std::uint64_t end = blockEnd(enclosing.back());
            enclosing.pop_back();
            const std::uint16_t outerSite
                = enclosing.empty() ? noSite : static_cast<std::uint16_t>(enclosing.back().site.value());
            if (end <= std::numeric_limits<client_address>::max())
                table->addRange(static_cast<client_address>(end), outerSite);
        }
    };
    for (const client_block& block : blocks) {
        closeBlocksUpTo(block.address);
        table->addRange(block.address, static_cast<std::uint16_t>(block.site.value()));
        enclosing.push_back(block);
    }
    closeBlocksUpTo(std::uint64_t { 1 } << addressBits);
    table->m_rangeStarts.shrink_to_fit();
    table->m_sites.shrink_to_fit();
    table->buildIndex();
    return std::unique_ptr<const block_table>(std::move(table));
}

void block_table::addRange(client_address first, std::uint16_t site)
{
    if (!m_rangeStarts.empty() && m_rangeStarts.back() == first) {
        m_sites.back() = site;
        return;
    }
    if (!m_sites.empty() && m_sites.back() == site)
        return;
    m_rangeStarts.push_back(first);
    m_sites.push_back(site);
}

void block_table::buildIndex()
{
    m_index.resize(indexSize);
    std::uint32_t range = 0;
    for (std::size_t upper = 0; upper < indexSize; ++upper) {
        const std::uint64_t address = static_cast<std::uint64_t>(upper) << (addressBits - indexBits);
        while (range < m_rangeStarts.size() && m_rangeStarts[range] < address)
            ++range;
        m_index[upper] = range;
    }
}

site_index block_table::find(client_address address, site_index fallback) const
{
    const std::size_t upper = address >> (addressBits - indexBits);
    const auto first = m_rangeStarts.begin() + m_index[upper];
    const auto last = m_rangeStarts.begin() + m_index[upper + 1];
    const auto nextRange = std::upper_bound(first, last, address);
    // The first range begins at address 0, so every address is in a range.
    const std::uint16_t site = m_sites[static_cast<std::size_t>(nextRange - m_rangeStarts.begin()) - 1];
    return site == noSite ? fallback : site_index(site);
}

std::size_t block_table::memoryBytes() const
{
    return sizeof(*this) + m_rangeStarts.capacity() * sizeof(client_address)
        + m_sites.capacity() * sizeof(std::uint16_t) + m_index.capacity() * sizeof(std::uint32_t);
}

} // namespace plantainlatch
