#pragma once

/** \file
 * A received request as its handler reads it.
 */

#include <string>
#include <string_view>
#include <vector>

#include "services/http_request_parser.h"

namespace plantainlatch {

/** A whole request, to be read within its handler only. */
class http_request_view {
public:
    explicit http_request_view(const received_request& request)
        : m_request(request)
    {
    }

    std::string_view method() const { return m_request.method; }
    /** The path as it was sent. */
    std::string_view path() const;
    /** What follows the `?`, without it. */
    std::string_view query() const;
    /** The path from `from` on with the query, as they were sent. */
    std::string target(std::size_t from) const { return m_request.target.substr(from); }
    /** The first field of that name; null without one. */
    const char* header(const char* name) const;
    const std::vector<header_field>& headers() const { return m_request.headers; }
    const std::string& body() const { return m_request.body; }

private:
    const received_request& m_request;
};

} // namespace plantainlatch
