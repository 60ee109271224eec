#pragma once

/** \file
 * Encodes and decodes messages between VMs.
 */

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "codec/byte_compressor.h"
#include "model/peer_message.h"

namespace plantainlatch {

/** An encoded message begins with its form. */
enum class peer_message_form : char {
    Plain = 0,
    Compressed = 1,
};

/** The largest message that is compressed, and the largest content of a compressed message, in bytes. */
inline constexpr std::size_t maximumCompressedContent = 64 * 1024 * 1024;

/** Encodes the messages of one VM, large ones compressed, and decodes those of others. */
class peer_message_codec {
public:
    /** Messages from this size in bytes on are compressed, if they become smaller. */
    static constexpr std::size_t minimumCompressed = 1024;
    /** The largest message in bytes that is kept, as encode() says. */
    static constexpr std::size_t maximumKept = 4 * 1024 * 1024;

    /** ResourceExhausted if there is no memory. */
    static absl::StatusOr<std::unique_ptr<peer_message_codec>> create();

    /** Keeps the last large message, as the same one is often sent to many VMs in a row: then it is compressed once. */
    std::string encode(const peer_message& message);

    /** InvalidArgument for bytes that are not exactly one message; ResourceExhausted for a compressed message that
     * states a content above the limit. */
    absl::StatusOr<peer_message> decode(std::string_view bytes);

    /** The memory in bytes that is kept from one message to the next. */
    std::size_t keptMemory() const;

private:
    explicit peer_message_codec(std::unique_ptr<byte_compressor> compressor);

    std::unique_ptr<byte_compressor> m_compressor;
    std::string m_lastPlain;
    std::string m_lastEncoded;
};

} // namespace plantainlatch
