#include "decision/consensus/consensus_options.h"

#include <algorithm>

namespace plantainlatch {

namespace {

    /** Proposals and unapplied entries may each use this part of the VM's memory. */
    constexpr std::uint64_t memoryDivisor = 32;

} // namespace

consensus_options withinMemory(consensus_options options, std::optional<byte_count> memoryLimit)
{
    if (!memoryLimit)
        return options;
    const std::uint64_t share = memoryLimit->value() / memoryDivisor;
    options.maximumPendingBytes = std::min(options.maximumPendingBytes, share);
    options.maximumUncommittedBytes = std::min(options.maximumUncommittedBytes, share);
    return options;
}

} // namespace plantainlatch
