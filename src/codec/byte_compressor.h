#pragma once

/** \file
 * Compresses byte strings with zstd, and decompresses them within a limit.
 */

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace plantainlatch {

/** Keeps the working memory of zstd, so that it is not allocated for each string. */
class byte_compressor {
public:
    /** ResourceExhausted if there is no memory. */
    static absl::StatusOr<std::unique_ptr<byte_compressor>> create();
    ~byte_compressor();

    /** One frame of zstd with its content size and a checksum; none if it would not be smaller than `bytes`. */
    std::optional<std::string> compress(std::string_view bytes);

    /** The content of exactly one frame. InvalidArgument for damaged, incomplete or further bytes, or if the frame does
     * not state its content size; ResourceExhausted if that is above `maximumBytes`, before memory is allocated. */
    absl::StatusOr<std::string> decompress(std::string_view frame, std::size_t maximumBytes);

    /** The working memory in bytes. */
    std::size_t workingMemory() const;

private:
    struct contexts;
    explicit byte_compressor(std::unique_ptr<contexts> parts);
    std::unique_ptr<contexts> m_contexts;
};

} // namespace plantainlatch
