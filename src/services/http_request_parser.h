#pragma once

/** \file
 * Reads HTTP/1 requests from the bytes of a connection, one after the other.
 */

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "model/http.h"
#include "model/vm_settings.h"
#include "services/http_answer.h"

struct http_parser;

namespace plantainlatch {

/** A whole request as it was sent. */
struct received_request {
    std::string method;
    /** Path and query as they were sent; of a target with scheme and host, what follows these. */
    std::string target;
    std::vector<header_field> headers;
    std::string body;
    /** The caller wants to use the connection further. */
    bool keepsConnection = true;
    bool isVersion10 = false;
};

/** Parses with http-parser, whose buffers grow with a field, and enforces the limits while bytes arrive. */
class http_request_parser {
public:
    explicit http_request_parser(const caller_limits& limits);
    ~http_request_parser();
    http_request_parser(const http_request_parser&) = delete;
    http_request_parser& operator=(const http_request_parser&) = delete;

    /** Reads up to the end of a request or to its first problem; returns how many bytes were used. */
    std::size_t feed(std::string_view bytes);

    /** A part of a request has come. */
    bool hasBegun() const { return m_begun; }
    bool isComplete() const { return m_complete; }
    /** What is wrong with the request; nothing after it can be read. */
    http_problem problem() const { return m_problem; }
    const received_request& request() const { return m_request; }

    /** Whether the caller waits for a go-ahead before it sends the body; tells so once. */
    bool takeWaitsForContinue();

    /** Forgets the request and is ready for the next one. */
    void next();

private:
    struct callbacks;

    int fail(http_problem problem);
    int addUrl(std::string_view bytes);
    int addFieldName(std::string_view bytes);
    int addFieldValue(std::string_view bytes);
    int finishHeaders();
    int addBody(std::string_view bytes);
    int finishRequest();
    int countHeaderBytes(std::size_t bytes);
    void checkFraming(const header_field& field);
    void noteParserError(std::string_view bytes);

    caller_limits m_limits;
    std::unique_ptr<http_parser> m_parser;
    received_request m_request;
    std::uint64_t m_headerBytes = 0;
    bool m_begun = false;
    bool m_inValue = false;
    bool m_headersDone = false;
    bool m_hasFraming = false;
    bool m_waitsForContinue = false;
    bool m_complete = false;
    http_problem m_problem = http_problem::None;
};

} // namespace plantainlatch
