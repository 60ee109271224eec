#pragma once

/** \file
 * Encodes and decodes length-prefixed frames on a byte stream.
 */

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace plantainlatch {

/** A frame is the length of the payload in bytes as a 32-bit big-endian number, followed by the payload. */
std::string encodeFrame(std::string_view payload);

/** Splits a byte stream into frames. Received bytes are buffered until next() has returned their frame. */
class frame_decoder {
public:
    /** A frame with a payload above `maximumPayload` bytes is an error. */
    explicit frame_decoder(std::size_t maximumPayload);

    void setMaximumPayload(std::size_t bytes) { m_maximumPayload = bytes; }

    /** Appends received bytes to the buffer. */
    void feed(std::string_view bytes);

    /** The payload of the next complete frame, or none if more bytes are needed; InvalidArgument for a frame that is
     * too large. */
    absl::StatusOr<std::optional<std::string>> next();

    /** The payload's length that the next frame states while it is not complete; 0 if it is not known yet. */
    std::size_t incompleteLength() const;

private:
    std::size_t m_maximumPayload;
    std::string m_buffer;
    std::size_t m_consumed = 0;
};

} // namespace plantainlatch
