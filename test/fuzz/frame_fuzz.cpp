/** \file
 * Fuzzes the decoders of frames and of the messages in them.
 */

#include <cstddef>
#include <cstdint>

#include "codec/frame_codec.h"
#include "codec/peer_message_codec.h"

// NOLINTNEXTLINE(readability-identifier-naming): the library calls it by this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    constexpr std::size_t maximumPayload = 4096;
    static const auto codec = *plantainlatch::peer_message_codec::create();
    plantainlatch::frame_decoder decoder(maximumPayload);
    decoder.feed({ reinterpret_cast<const char*>(data), size });
    for (auto frame = decoder.next(); frame.ok() && frame->has_value(); frame = decoder.next())
        codec->decode(**frame).status().IgnoreError();
    return 0;
}
