#pragma once

/** \file
 * Parses a sequence of HTTP/1 requests from the byte stream of a connection.
 */

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "model/http.h"
#include "model/vm_settings.h"
#include "services/http_answer.h"

struct http_parser;

namespace plantainlatch {

/** A complete request as it was sent. */
struct received_request {
    std::string method;
    /** Path and query as they were sent; scheme and host of an absolute target are removed. */
    std::string target;
    std::vector<header_field> headers;
    std::string body;
    /** Whether the connection stays open after the answer (keep-alive). */
    bool keepsConnection = true;
    bool isVersion10 = false;
};

/** Wraps http-parser, which passes on fields and bodies piece by piece, so that the size limits are enforced while
 * bytes arrive. */
class http_request_parser {
public:
    explicit http_request_parser(const caller_limits& limits);
    ~http_request_parser();
    http_request_parser(const http_request_parser&) = delete;
    http_request_parser& operator=(const http_request_parser&) = delete;

    /** Parses up to the end of the request or its first problem; returns the number of bytes consumed. */
    std::size_t feed(std::string_view bytes);

    /** Whether a part of a request has arrived. */
    bool hasBegun() const { return m_begun; }
    bool isComplete() const { return m_complete; }
    /** What is wrong with the request. After a problem nothing more can be parsed from the connection. */
    http_problem problem() const { return m_problem; }
    const received_request& request() const { return m_request; }
    received_request& request() { return m_request; }
    /** The number of bytes of the head that were received. */
    std::size_t headSize() const { return m_headerBytes; }
    /** The memory that the target and the header fields take; many short fields take far more than was received. */
    std::size_t headMemory() const { return textFactor * m_headerBytes + m_request.headers.size() * fieldMemory; }
    /** The memory that the request needs: its head, and its stated length or what is reserved for its chunks. */
    std::size_t neededBytes() const { return neededBytes(m_request.body.empty() ? 0 : m_request.body.capacity()); }
    /** Sets a function that is called with the memory that a request will need, before its body grows; if it returns
     * false, the request has the problem NoMemory. */
    void setHold(std::function<bool(std::size_t)> hold) { m_hold = std::move(hold); }
    /** Whether the body is being received. */
    bool isReadingBody() const { return m_headersDone && !m_complete; }
    /** Frees the body of a request that was handled or refused. */
    void dropBody() { std::string().swap(m_request.body); }

    /** Whether the caller expects "100 Continue" before it sends the body; true only once for each request. */
    bool takeWaitsForContinue();

    /** Resets the parser for the next request. */
    void next();

private:
    struct callbacks;

    /** A string grows by doubling its capacity. */
    static constexpr std::size_t textFactor = 2;
    /** A field in a list whose capacity doubles, while the former list is copied. */
    static constexpr std::size_t fieldMemory = 2 * sizeof(header_field);

    int fail(http_problem problem);
    int addUrl(std::string_view bytes);
    int addFieldName(std::string_view bytes);
    int addFieldValue(std::string_view bytes);
    int finishHeaders();
    int addBody(std::string_view bytes);
    bool reserveBody(std::size_t more);
    std::size_t neededBytes(std::size_t capacity) const;
    int finishRequest();
    int countHeaderBytes(std::size_t bytes);
    void checkFraming(const header_field& field);
    void recordParserError(std::string_view bytes);

    caller_limits m_limits;
    std::unique_ptr<http_parser> m_parser;
    std::function<bool(std::size_t)> m_hold;
    received_request m_request;
    std::uint64_t m_headerBytes = 0;
    /** 0 for chunks. */
    std::size_t m_statedLength = 0;
    bool m_begun = false;
    bool m_inValue = false;
    bool m_headersDone = false;
    bool m_hasFraming = false;
    bool m_waitsForContinue = false;
    bool m_complete = false;
    http_problem m_problem = http_problem::None;
};

} // namespace plantainlatch
