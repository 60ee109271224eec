#include "services/http_request_parser.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <http_parser.h>

#include "codec/http_fields.h"

namespace plantainlatch {

namespace {

    /** The bytes of a header line besides its name and value: ": " and CRLF. */
    constexpr std::size_t headerLineOverhead = 4;
    constexpr std::uint64_t noContentLength = std::numeric_limits<std::uint64_t>::max();
    constexpr int stopParsing = -1;
    /** A power of two, so that doubling it reaches the usual limits exactly. */
    constexpr std::size_t smallestCapacity = 4096;

    bool isMethodLetter(char letter) { return letter >= 'A' && letter <= 'Z'; }

    /** Whether the bytes begin with uppercase letters and a path, as in a valid request line whose method is unknown.
     */
    bool looksLikeRequestLine(std::string_view bytes)
    {
        const auto end = std::find_if_not(bytes.begin(), bytes.end(), isMethodLetter);
        const std::string_view rest = bytes.substr(static_cast<std::size_t>(end - bytes.begin()));
        return end != bytes.begin() && rest.starts_with(" /");
    }

    /** Reduces a target, possibly in absolute form, to path and query; empty if it is invalid. */
    std::string originForm(const std::string& target)
    {
        if (target.starts_with('/') || target == "*")
            return target;
        http_parser_url parts {};
        http_parser_url_init(&parts);
        if (http_parser_parse_url(target.data(), target.size(), 0, &parts) != 0)
            return {};
        const auto part = [&](http_parser_url_fields field) {
            return target.substr(parts.field_data[field].off, parts.field_data[field].len);
        };
        const auto has = [&](http_parser_url_fields field) { return (parts.field_set & (1U << field)) != 0; };
        std::string origin = has(UF_PATH) ? part(UF_PATH) : "/";
        if (has(UF_QUERY))
            origin += "?" + part(UF_QUERY);
        return origin;
    }

} // namespace

struct http_request_parser::callbacks {
    static http_request_parser& self(http_parser* parser) { return *static_cast<http_request_parser*>(parser->data); }

    template <int (http_request_parser::*Handle)(std::string_view)>
    static int data(http_parser* parser, const char* bytes, std::size_t size)
    {
        return (self(parser).*Handle)({ bytes, size });
    }

    template <int (http_request_parser::*Handle)()> static int notify(http_parser* parser)
    {
        return (self(parser).*Handle)();
    }

    static int begin(http_parser* parser)
    {
        self(parser).m_begun = true;
        return 0;
    }

    static http_parser_settings make()
    {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_message_begin = begin;
        settings.on_url = data<&http_request_parser::addUrl>;
        settings.on_header_field = data<&http_request_parser::addFieldName>;
        settings.on_header_value = data<&http_request_parser::addFieldValue>;
        settings.on_headers_complete = notify<&http_request_parser::finishHeaders>;
        settings.on_body = data<&http_request_parser::addBody>;
        settings.on_message_complete = notify<&http_request_parser::finishRequest>;
        return settings;
    }
};

http_request_parser::http_request_parser(const caller_limits& limits)
    : m_limits(limits)
    , m_parser(std::make_unique<http_parser>())
{
    m_parser->data = this;
    http_parser_init(m_parser.get(), HTTP_REQUEST);
}

http_request_parser::~http_request_parser() = default;

std::size_t http_request_parser::feed(std::string_view bytes)
{
    static const http_parser_settings settings = callbacks::make();
    const std::size_t used = http_parser_execute(m_parser.get(), &settings, bytes.data(), bytes.size());
    const bool failed = HTTP_PARSER_ERRNO(m_parser.get()) != HPE_OK && !m_complete;
    if (failed && m_problem == http_problem::None)
        recordParserError(bytes);
    return used;
}

void http_request_parser::recordParserError(std::string_view bytes)
{
    switch (HTTP_PARSER_ERRNO(m_parser.get())) {
    case HPE_INVALID_METHOD:
        m_problem = looksLikeRequestLine(bytes) ? http_problem::UnsupportedMethod : http_problem::Malformed;
        return;
    case HPE_HEADER_OVERFLOW:
        m_problem = http_problem::HeadersTooLarge;
        return;
    default:
        m_problem = http_problem::Malformed;
        return;
    }
}

bool http_request_parser::takeWaitsForContinue() { return std::exchange(m_waitsForContinue, false); }

void http_request_parser::next()
{
    http_parser_init(m_parser.get(), HTTP_REQUEST);
    // The assignment of an empty string would keep the memory of the former one.
    received_request empty;
    std::swap(m_request, empty);
    m_headerBytes = 0;
    m_statedLength = 0;
    m_begun = false;
    m_inValue = false;
    m_headersDone = false;
    m_hasFraming = false;
    m_waitsForContinue = false;
    m_complete = false;
    m_problem = http_problem::None;
}

int http_request_parser::fail(http_problem problem)
{
    m_problem = problem;
    return stopParsing;
}

int http_request_parser::countHeaderBytes(std::size_t bytes)
{
    m_headerBytes += bytes;
    return m_headerBytes > m_limits.maximumHeaders.value() ? fail(http_problem::HeadersTooLarge) : 0;
}

int http_request_parser::addUrl(std::string_view bytes)
{
    m_request.target.append(bytes);
    return countHeaderBytes(bytes.size());
}

int http_request_parser::addFieldName(std::string_view bytes)
{
    if (m_headersDone)
        return 0; // Trailer fields of a chunked body are ignored.
    if (m_inValue || m_request.headers.empty()) {
        m_inValue = false;
        m_request.headers.emplace_back();
        m_headerBytes += headerLineOverhead;
    }
    m_request.headers.back().name.append(bytes);
    return countHeaderBytes(bytes.size());
}

int http_request_parser::addFieldValue(std::string_view bytes)
{
    if (m_headersDone)
        return 0;
    m_inValue = true;
    m_request.headers.back().value.append(bytes);
    return countHeaderBytes(bytes.size());
}

void http_request_parser::checkFraming(const header_field& field)
{
    const bool framing = http_fields::sameName(field.name, http_fields::contentLength)
        || http_fields::sameName(field.name, http_fields::transferEncoding);
    // Duplicate framing fields allow request smuggling: the next hop could delimit the body differently.
    if (framing && std::exchange(m_hasFraming, true))
        m_problem = http_problem::Malformed;
}

int http_request_parser::finishHeaders()
{
    m_headersDone = true;
    for (const header_field& field : m_request.headers)
        checkFraming(field);
    m_request.target = originForm(m_request.target);
    if (m_problem != http_problem::None || m_request.target.empty())
        return fail(http_problem::Malformed);
    if (m_parser->method == HTTP_CONNECT)
        return fail(http_problem::UnsupportedMethod);
    const std::uint64_t length = m_parser->content_length;
    if (length != noContentLength && length > m_limits.maximumBody.value())
        return fail(http_problem::BodyTooLarge);
    m_statedLength = length != noContentLength ? length : 0;
    m_request.method = http_method_str(static_cast<http_method>(m_parser->method));
    m_request.isVersion10 = m_parser->http_major == 1 && m_parser->http_minor == 0;
    const header_field* expected = http_fields::find(m_request.headers, "Expect");
    m_waitsForContinue
        = expected != nullptr && !m_request.isVersion10 && http_fields::sameName(expected->value, "100-continue");
    return 0;
}

int http_request_parser::addBody(std::string_view bytes)
{
    if (m_request.body.size() + bytes.size() > m_limits.maximumBody.value())
        return fail(http_problem::BodyTooLarge);
    if (!reserveBody(bytes.size()))
        return fail(http_problem::NoMemory);
    m_request.body.append(bytes);
    return 0;
}

bool http_request_parser::reserveBody(std::size_t more)
{
    // Reserved memory is used only as far as bytes arrive, so a stated length costs nothing by itself. A body that
    // grows by doubling needs no more than the new capacity while it is copied.
    std::string& body = m_request.body;
    const std::size_t needed = body.size() + more;
    if (needed <= body.capacity())
        return true;
    const std::size_t doubled = std::max(2 * body.capacity(), smallestCapacity);
    const std::size_t capacity = std::max({ needed, m_statedLength, doubled });
    if (m_hold && !m_hold(neededBytes(capacity)))
        return false;
    body.reserve(capacity);
    return true;
}

std::size_t http_request_parser::neededBytes(std::size_t capacity) const
{
    return headMemory() + std::max(m_statedLength, std::min<std::size_t>(capacity, m_limits.maximumBody.value()));
}

int http_request_parser::finishRequest()
{
    m_request.keepsConnection = http_should_keep_alive(m_parser.get()) != 0;
    m_complete = true;
    // Bytes that follow belong to the next request, which is parsed after this one is answered.
    http_parser_pause(m_parser.get(), 1);
    return 0;
}

} // namespace plantainlatch
