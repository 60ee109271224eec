/** \file
 * Fuzzes the decompression of arbitrary bytes, and of bytes that were compressed, as the content of a message.
 */

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "codec/byte_compressor.h"
#include "codec/peer_message_codec.h"

// NOLINTNEXTLINE(readability-identifier-naming): the library calls it by this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace plantainlatch;
    static const auto compressor = *byte_compressor::create();
    static const auto codec = *peer_message_codec::create();
    constexpr std::size_t maximumContent = 65536;
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    const auto content = compressor->decompress(bytes, maximumContent);
    if (content.ok() && content->size() > maximumContent)
        std::abort();
    const std::string form(1, static_cast<char>(peer_message_form::Compressed));
    codec->decode(form + bytes).status().IgnoreError();
    if (const auto frame = compressor->compress(bytes)) {
        if (*compressor->decompress(*frame, bytes.size()) != bytes)
            std::abort();
        codec->decode(form + *frame).status().IgnoreError();
    }
    return 0;
}
