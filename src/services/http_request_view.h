#pragma once

/** \file
 * Read access to a received request for its handler.
 */

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/ids.h"
#include "services/http_request_parser.h"

namespace plantainlatch {

/** A complete request; valid only during the call of its handler. */
class http_request_view {
public:
    http_request_view(received_request& request, caller_address sentFrom)
        : m_request(request)
        , m_sentFrom(sentFrom)
    {
    }

    caller_address sentFrom() const { return m_sentFrom; }
    std::string_view method() const { return m_request.method; }
    /** The path, not percent-decoded. */
    std::string_view path() const;
    /** The query without its `?`; empty if there is none. */
    std::string_view query() const;
    /** The path from position `from` on, with the query; not percent-decoded. */
    std::string target(std::size_t from) const { return m_request.target.substr(from); }
    /** The value of the first field with that name; null if there is none. */
    const char* header(const char* name) const;
    const std::vector<header_field>& headers() const { return m_request.headers; }
    const std::string& body() const { return m_request.body; }
    /** Moves the body out of the received request, which is empty from then on. */
    shared_body takeBody() const { return std::move(m_request.body); }

private:
    received_request& m_request;
    caller_address m_sentFrom;
};

} // namespace plantainlatch
