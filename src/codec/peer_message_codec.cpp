#include "codec/peer_message_codec.h"

#include <optional>
#include <utility>

#include "codec/msgpack_codec.h"

namespace plantainlatch {

namespace {

    std::string withForm(peer_message_form form, std::string_view content)
    {
        std::string encoded;
        encoded.reserve(1 + content.size());
        encoded += static_cast<char>(form);
        encoded += content;
        return encoded;
    }

} // namespace

absl::StatusOr<std::unique_ptr<peer_message_codec>> peer_message_codec::create()
{
    absl::StatusOr<std::unique_ptr<byte_compressor>> compressor = byte_compressor::create();
    if (!compressor.ok())
        return compressor.status();
    return std::unique_ptr<peer_message_codec>(new peer_message_codec(std::move(*compressor)));
}

peer_message_codec::peer_message_codec(std::unique_ptr<byte_compressor> compressor)
    : m_compressor(std::move(compressor))
{
}

std::string peer_message_codec::encode(const peer_message& message)
{
    std::string plain = msgpack_codec::encode(message);
    if (plain.size() < minimumCompressed || plain.size() > maximumCompressedContent)
        return withForm(peer_message_form::Plain, plain);
    if (plain == m_lastPlain)
        return m_lastEncoded;
    const std::optional<std::string> frame = m_compressor->compress(plain);
    std::string encoded
        = frame ? withForm(peer_message_form::Compressed, *frame) : withForm(peer_message_form::Plain, plain);
    if (plain.size() <= maximumKept) {
        m_lastPlain = std::move(plain);
        m_lastEncoded = encoded;
    }
    return encoded;
}

absl::StatusOr<peer_message> peer_message_codec::decode(std::string_view bytes)
{
    if (bytes.empty())
        return absl::InvalidArgumentError("a message is empty");
    const std::string_view content = bytes.substr(1);
    switch (static_cast<peer_message_form>(bytes.front())) {
    case peer_message_form::Plain:
        return msgpack_codec::decode<peer_message>(content);
    case peer_message_form::Compressed: {
        const absl::StatusOr<std::string> plain = m_compressor->decompress(content, maximumCompressedContent);
        if (!plain.ok())
            return plain.status();
        return msgpack_codec::decode<peer_message>(*plain);
    }
    }
    return absl::InvalidArgumentError("a message has an unknown form");
}

std::size_t peer_message_codec::keptMemory() const
{
    return m_compressor->workingMemory() + m_lastPlain.capacity() + m_lastEncoded.capacity();
}

} // namespace plantainlatch
