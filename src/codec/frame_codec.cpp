#include "codec/frame_codec.h"

#include "absl/strings/str_cat.h"

namespace plantainlatch {

namespace {

    constexpr std::size_t lengthBytes = 4;
    constexpr unsigned bitsPerByte = 8;
    /** Decoded bytes are erased from the buffer only once there are this many, since erasing them moves all bytes that
     * follow. */
    constexpr std::size_t compactionBytes = 64 * 1024;

    std::size_t readLength(const char* bytes)
    {
        std::size_t length = 0;
        for (std::size_t i = 0; i < lengthBytes; ++i)
            length = (length << bitsPerByte) | static_cast<unsigned char>(bytes[i]);
        return length;
    }

} // namespace

std::string encodeFrame(std::string_view payload)
{
    std::string frame;
    frame.reserve(lengthBytes + payload.size());
    for (std::size_t i = 0; i < lengthBytes; ++i)
        frame += static_cast<char>((payload.size() >> (bitsPerByte * (lengthBytes - 1 - i))) & 0xffU);
    frame.append(payload);
    return frame;
}

frame_decoder::frame_decoder(std::size_t maximumPayload)
    : m_maximumPayload(maximumPayload)
{
}

void frame_decoder::feed(std::string_view bytes)
{
    if (m_consumed == m_buffer.size() || m_consumed >= compactionBytes) {
        m_buffer.erase(0, m_consumed);
        m_consumed = 0;
    }
    m_buffer.append(bytes);
}

absl::StatusOr<std::optional<std::string>> frame_decoder::next()
{
    const std::size_t available = m_buffer.size() - m_consumed;
    if (available < lengthBytes)
        return std::optional<std::string>();
    const std::size_t length = readLength(m_buffer.data() + m_consumed);
    if (length > m_maximumPayload)
        return absl::InvalidArgumentError(
            absl::StrCat("a frame of ", length, " bytes exceeds the limit of ", m_maximumPayload));
    if (available < lengthBytes + length)
        return std::optional<std::string>();
    std::string payload = m_buffer.substr(m_consumed + lengthBytes, length);
    m_consumed += lengthBytes + length;
    return std::optional<std::string>(std::move(payload));
}

std::size_t frame_decoder::incompleteLength() const
{
    return m_buffer.size() - m_consumed < lengthBytes ? 0 : readLength(m_buffer.data() + m_consumed);
}

} // namespace plantainlatch
