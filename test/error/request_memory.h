#pragma once

/** \file
 * Compares the memory that a parsed request takes with what its parser reports.
 */

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>

#include "services/http_request_parser.h"

namespace plantainlatch {

/** The memory of the strings and lists of a request. Of a body, the capacity beyond the limit is never used. */
inline std::size_t memoryOf(const received_request& request, std::size_t maximumBody)
{
    const std::size_t body = request.body.empty() ? 0 : std::min(request.body.capacity(), maximumBody);
    std::size_t bytes = request.target.capacity() + body + request.headers.capacity() * sizeof(header_field);
    const std::size_t inObject = std::string().capacity();
    for (const header_field& field : request.headers) {
        for (const std::string* text : { &field.name, &field.value })
            bytes += text->capacity() > inObject ? text->capacity() : 0;
    }
    return bytes;
}

/** Feeds a byte stream to a parser in pieces and returns whether it always reports at least the memory that it takes,
 * and never holds more than its hold function has allowed. */
inline bool reportsAllMemory(std::string_view stream, std::size_t pieceSize, std::size_t allowed)
{
    constexpr std::size_t uncounted = 256;
    const caller_limits limits { byte_count(16 * 1024), byte_count(64 * 1024) };
    http_request_parser parser(limits);
    parser.setHold([allowed](std::size_t bytes) { return bytes <= allowed; });
    while (!stream.empty() && parser.problem() == http_problem::None) {
        const std::string_view piece = stream.substr(0, pieceSize);
        const std::size_t used = parser.feed(piece);
        stream.remove_prefix(std::min(used, piece.size()));
        const std::size_t held = memoryOf(parser.request(), limits.maximumBody.value());
        if (held > parser.neededBytes() + uncounted)
            return false;
        // A few bytes fit into the string itself.
        if (parser.request().body.size() > std::max(allowed, std::string().capacity()))
            return false;
        if (parser.isComplete())
            parser.next();
        else if (used == 0)
            break;
    }
    return true;
}

} // namespace plantainlatch
