#pragma once

/** \file
 * Checks the bytes of an upstream's answer against the grammar of HTTP/1.1 (RFC 9112) while they arrive.
 */

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "absl/status/status.h"

namespace plantainlatch {

/** Wraps the parser of Boost.Beast. libevent's client accepts heads and chunks that are not valid HTTP, so an answer
 * counts only if this check and the client agree on it. */
class http_answer_validator {
public:
    /** `head` is set for the answer to a HEAD request, which has no body. A head of more than `maximumHeadBytes` is not
     * valid. */
    http_answer_validator(bool head, std::size_t maximumHeadBytes);
    ~http_answer_validator();
    http_answer_validator(const http_answer_validator&) = delete;
    http_answer_validator& operator=(const http_answer_validator&) = delete;

    /** Reads the next bytes. Informational answers are skipped; bytes after the final answer are not read, as they
     * belong to no request. */
    void feed(std::string_view bytes);
    /** The connection has ended, which completes a body without a length. */
    void endOfStream();

    /** OK while the bytes are the beginning of an answer; otherwise InvalidArgument, which says what is wrong. */
    const absl::Status& status() const;
    /** Whether the whole final answer was read. */
    bool isComplete() const;
    /** Whether only the end of the connection ends the body; valid once the answer is complete. */
    bool isDelimitedByClose() const;
    /** The status code of the final answer; 0 until its head was read. */
    int code() const;
    /** The body's length as the head states it; none before the head was read, or if it doesn't. */
    std::optional<std::uint64_t> statedLength() const;
    /** The size of the final answer's body without its framing, as far as it was read. */
    std::uint64_t bodyBytes() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_parts;
};

} // namespace plantainlatch
