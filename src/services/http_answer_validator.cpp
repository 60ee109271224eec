#include "services/http_answer_validator.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>

namespace plantainlatch {

namespace {

    namespace http = boost::beast::http;
    using error_code = boost::beast::error_code;
    using text = boost::beast::string_view;

    constexpr int firstStatus = 100;
    constexpr int firstFinalStatus = 200;
    constexpr int lastStatus = 599;
    constexpr int statusSwitchingProtocols = 101;

    bool isInformational(int code) { return code < firstFinalStatus && code != statusSwitchingProtocols; }

    bool isNumber(text value)
    {
        return !value.empty() && std::all_of(value.begin(), value.end(), [](char c) { return c >= '0' && c <= '9'; });
    }

    /** Parses one answer and counts its body. */
    class answer_parser : public http::basic_parser<false> {
    public:
        answer_parser(bool head, std::size_t maximumHeadBytes)
        {
            eager(true);
            skip(head);
            header_limit(static_cast<std::uint32_t>(maximumHeadBytes));
            // The client library limits the body.
            body_limit(std::numeric_limits<std::uint64_t>::max());
        }

        int code() const { return m_code; }
        std::uint64_t bodyBytes() const { return m_bodyBytes; }
        const std::optional<std::uint64_t>& statedLength() const { return m_statedLength; }

    private:
        void on_request_impl(http::verb, text, text, int, error_code&) override { }

        void on_response_impl(int code, text, int, error_code& error) override
        {
            m_code = code;
            if (code < firstStatus || code > lastStatus)
                error = http::error::bad_status;
        }

        void on_field_impl(http::field name, text, text value, error_code& error) override
        {
            const bool isUnknownCoding
                = name == http::field::transfer_encoding && !boost::beast::iequals(value, "chunked");
            if (isUnknownCoding)
                error = http::error::bad_transfer_encoding;
            if (name == http::field::content_length && !isNumber(value))
                error = http::error::bad_content_length;
        }

        void on_header_impl(error_code&) override { }
        void on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code&) override
        {
            if (length)
                m_statedLength = *length;
        }
        std::size_t on_body_impl(text body, error_code&) override { return count(body); }
        void on_chunk_header_impl(std::uint64_t, text, error_code&) override { }
        std::size_t on_chunk_body_impl(std::uint64_t, text body, error_code&) override { return count(body); }
        void on_finish_impl(error_code&) override { }

        std::size_t count(text body)
        {
            m_bodyBytes += body.size();
            return body.size();
        }

        int m_code = 0;
        std::uint64_t m_bodyBytes = 0;
        std::optional<std::uint64_t> m_statedLength;
    };

} // namespace

struct http_answer_validator::implementation {
    bool head;
    std::size_t maximumHeadBytes;
    std::optional<answer_parser> parser;
    /** Bytes that the parser reads only together with those that follow. */
    std::string unread;
    absl::Status status;

    implementation(bool isHead, std::size_t headLimit)
        : head(isHead)
        , maximumHeadBytes(headLimit)
    {
        beginAnswer();
    }

    void beginAnswer() { parser.emplace(head, maximumHeadBytes); }

    bool isComplete() const { return parser->is_done() && !isInformational(parser->code()); }

    void fail(const error_code& error)
    {
        status = absl::InvalidArgumentError(error.message());
        unread.clear();
    }

    void parse()
    {
        while (status.ok() && !unread.empty() && !isComplete()) {
            error_code error;
            const std::size_t parsed = parser->put(boost::asio::buffer(unread), error);
            unread.erase(0, parsed);
            if (error == http::error::need_more)
                return;
            if (error)
                fail(error);
            else if (parser->is_done() && !isComplete())
                beginAnswer();
            else if (parsed == 0)
                return;
        }
    }
};

http_answer_validator::http_answer_validator(bool head, std::size_t maximumHeadBytes)
    : m_parts(std::make_unique<implementation>(head, maximumHeadBytes))
{
}

http_answer_validator::~http_answer_validator() = default;

void http_answer_validator::feed(std::string_view bytes)
{
    if (!m_parts->status.ok() || isComplete())
        return;
    m_parts->unread.append(bytes);
    m_parts->parse();
}

void http_answer_validator::endOfStream()
{
    if (!m_parts->status.ok() || isComplete())
        return;
    error_code error;
    if (m_parts->parser->got_some())
        m_parts->parser->put_eof(error);
    else
        error = http::error::end_of_stream;
    if (error)
        m_parts->fail(error);
}

const absl::Status& http_answer_validator::status() const { return m_parts->status; }
bool http_answer_validator::isComplete() const { return m_parts->isComplete(); }
bool http_answer_validator::isDelimitedByClose() const { return m_parts->parser->need_eof(); }
int http_answer_validator::code() const { return m_parts->parser->code(); }
std::optional<std::uint64_t> http_answer_validator::statedLength() const { return m_parts->parser->statedLength(); }
std::uint64_t http_answer_validator::bodyBytes() const { return m_parts->parser->bodyBytes(); }

} // namespace plantainlatch
