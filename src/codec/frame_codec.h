#pragma once

/** \file
 * Length-prefixed frames on a byte stream.
 */

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace plantainlatch {

/** The bytes of a frame: a length of four bytes, most significant first, and the payload. */
std::string encodeFrame(std::string_view payload);

/** Cuts a byte stream into frames; it never holds more than one frame and what came with it. */
class frame_decoder {
public:
    /** Frames with a payload above `largestPayload` bytes are errors. */
    explicit frame_decoder(std::size_t largestPayload);

    void setLargestPayload(std::size_t bytes) { m_largestPayload = bytes; }

    /** Adds received bytes. */
    void feed(std::string_view bytes);

    /** The next whole frame's payload, none until more bytes come, InvalidArgument when a frame is too large. */
    absl::StatusOr<std::optional<std::string>> next();

private:
    std::size_t m_largestPayload;
    std::string m_buffer;
    std::size_t m_consumed = 0;
};

} // namespace plantainlatch
