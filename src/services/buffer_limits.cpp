#include "services/buffer_limits.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace plantainlatch {

namespace {

    constexpr byte_count defaultMemory { 1024ULL * 1024 * 1024 };
    /** What a process uses without any load, 14 to 15 MB, with a margin. */
    constexpr std::uint64_t ownMemory = 20'000'000;
    /** Below this limit the shares would be useless, so they are taken as if the limit were this. */
    constexpr std::uint64_t minimumMemory = 2 * ownMemory;
    /** Shares of the memory that the process doesn't use itself. With 47 of 64, a body of 64 MiB fits into a VM of
     * 112 MB. */
    constexpr std::uint64_t shares = 64;
    constexpr std::uint64_t largeShares = 47;
    constexpr std::uint64_t smallShares = 6;
    constexpr std::uint64_t answerShares = 6;
    constexpr std::uint64_t peerShares = 3;
    constexpr std::uint64_t connectionShares = 2;
    static_assert(largeShares + smallShares + answerShares + peerShares + connectionShares == shares);
    /** A configuration takes up to nine times its size while it takes effect, and the VMs with the least memory have to
     * hold it too. */
    constexpr std::uint64_t configurationDivisor = 64;

    std::uint64_t memoryOf(std::optional<byte_count> limit)
    {
        return std::max(limit.value_or(defaultMemory).value(), minimumMemory);
    }

} // namespace

buffer_budget_limits bufferLimitsFor(std::optional<byte_count> memoryLimit)
{
    const std::uint64_t share = (memoryOf(memoryLimit) - ownMemory) / shares;
    const std::uint64_t largestAnswer = maximumAnswerHead.value() + maximumAnswerBody.value();
    return { byte_count(share * largeShares), byte_count(share * smallShares),
        byte_count(std::min(share * answerShares, largestAnswer)), byte_count(share * peerShares),
        byte_count(share * connectionShares) };
}

byte_count memoryNeededFor(const caller_limits& limits)
{
    const std::uint64_t request = limits.maximumHeaders.value() + limits.maximumBody.value();
    return byte_count(ownMemory + (request + largeShares - 1) / largeShares * shares);
}

std::optional<log_event> checkMemory(std::optional<byte_count> memoryLimit, const caller_limits& limits)
{
    const byte_count needed = memoryNeededFor(limits);
    const byte_count available(memoryOf(memoryLimit));
    if (available >= needed)
        return std::nullopt;
    return log_event { log_level::Warning, "buffer_budget", "the memory limit is too small for the largest request",
        { { "memory_bytes", absl::StrCat(available.value()) }, { "needed_bytes", absl::StrCat(needed.value()) },
            { "maximum_body", absl::StrCat(limits.maximumBody.value()) } } };
}

byte_count maximumConfiguration(std::optional<byte_count> memoryLimit)
{
    return byte_count(memoryOf(memoryLimit) / configurationDivisor);
}

} // namespace plantainlatch
