#include "codec/byte_compressor.h"

#include <utility>

#include <zstd.h>

#include "absl/strings/str_cat.h"

namespace plantainlatch {

namespace {

    /** Zstd's level: the lowest one whose window of 1 MiB covers a configuration. */
    constexpr int compressionLevel = 2;

    struct context_deleter {
        void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
        void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
    };

    absl::Status damaged(std::size_t error)
    {
        return absl::InvalidArgumentError(absl::StrCat("compressed bytes are damaged: ", ZSTD_getErrorName(error)));
    }

    /** Whether the frame states its content size, is within the limit, and is all there is. */
    absl::Status checkFrame(std::string_view frame, std::size_t maximumBytes)
    {
        const unsigned long long size = ZSTD_getFrameContentSize(frame.data(), frame.size());
        if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN)
            return absl::InvalidArgumentError("compressed bytes do not state the size of their content");
        if (size > maximumBytes)
            return absl::ResourceExhaustedError(absl::StrCat(
                "compressed bytes state a content of ", size, " bytes, above the limit of ", maximumBytes));
        const std::size_t frameBytes = ZSTD_findFrameCompressedSize(frame.data(), frame.size());
        if (ZSTD_isError(frameBytes) != 0)
            return damaged(frameBytes);
        if (frameBytes != frame.size())
            return absl::InvalidArgumentError("compressed bytes are followed by others");
        return absl::OkStatus();
    }

} // namespace

struct byte_compressor::contexts {
    std::unique_ptr<ZSTD_CCtx, context_deleter> compression;
    std::unique_ptr<ZSTD_DCtx, context_deleter> decompression;
};

absl::StatusOr<std::unique_ptr<byte_compressor>> byte_compressor::create()
{
    auto parts = std::make_unique<contexts>();
    parts->compression.reset(ZSTD_createCCtx());
    parts->decompression.reset(ZSTD_createDCtx());
    if (parts->compression == nullptr || parts->decompression == nullptr)
        return absl::ResourceExhaustedError("no memory for compression");
    for (const auto& [parameter, value] :
        { std::pair(ZSTD_c_compressionLevel, compressionLevel), std::pair(ZSTD_c_checksumFlag, 1) }) {
        const std::size_t result = ZSTD_CCtx_setParameter(parts->compression.get(), parameter, value);
        if (ZSTD_isError(result) != 0)
            return absl::InternalError(ZSTD_getErrorName(result));
    }
    return std::unique_ptr<byte_compressor>(new byte_compressor(std::move(parts)));
}

byte_compressor::byte_compressor(std::unique_ptr<contexts> parts)
    : m_contexts(std::move(parts))
{
}

byte_compressor::~byte_compressor() = default;

std::optional<std::string> byte_compressor::compress(std::string_view bytes)
{
    if (bytes.empty())
        return std::nullopt;
    // Without room for a frame as large as the content, zstd fails as soon as it would not become smaller.
    std::string frame(bytes.size() - 1, '\0');
    const std::size_t size
        = ZSTD_compress2(m_contexts->compression.get(), frame.data(), frame.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(size) != 0)
        return std::nullopt;
    frame.resize(size);
    frame.shrink_to_fit();
    return frame;
}

absl::StatusOr<std::string> byte_compressor::decompress(std::string_view frame, std::size_t maximumBytes)
{
    if (const absl::Status status = checkFrame(frame, maximumBytes); !status.ok())
        return status;
    std::string bytes(ZSTD_getFrameContentSize(frame.data(), frame.size()), '\0');
    const std::size_t size
        = ZSTD_decompressDCtx(m_contexts->decompression.get(), bytes.data(), bytes.size(), frame.data(), frame.size());
    if (ZSTD_isError(size) != 0)
        return damaged(size);
    if (size != bytes.size())
        return absl::InvalidArgumentError("compressed bytes have another size than they state");
    return bytes;
}

std::size_t byte_compressor::workingMemory() const
{
    return ZSTD_sizeof_CCtx(m_contexts->compression.get()) + ZSTD_sizeof_DCtx(m_contexts->decompression.get());
}

} // namespace plantainlatch
