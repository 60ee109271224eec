#include "services/http_answer_check.h"

#include <charconv>

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include "codec/http_fields.h"

namespace plantainlatch {

namespace {

    constexpr int firstFinalStatus = 200;
    constexpr int noContent = 204;
    constexpr int notModified = 304;

    /** How the header fields delimit the body (RFC 9112, section 6). */
    struct body_framing {
        std::optional<std::size_t> length;
        bool chunked = false;
        bool contradictory = false;
    };

    std::optional<std::size_t> parseLength(const std::string& text)
    {
        std::size_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    body_framing framingOf(const std::vector<header_field>& fields)
    {
        body_framing framing;
        for (const header_field& field : fields) {
            if (http_fields::sameName(field.name, http_fields::contentLength)) {
                const std::optional<std::size_t> length = parseLength(field.value);
                framing.contradictory |= !length || (framing.length && framing.length != length);
                framing.length = length;
            } else if (http_fields::sameName(field.name, http_fields::transferEncoding)) {
                framing.contradictory |= framing.chunked || !http_fields::sameName(field.value, "chunked");
                framing.chunked = true;
            }
        }
        framing.contradictory |= framing.chunked && framing.length.has_value();
        return framing;
    }

    bool agrees(const http_answer_validator& validator, const upstream_answer& answer)
    {
        return validator.isComplete() && validator.code() == answer.status
            && validator.bodyBytes() == answer.body.size();
    }

    bool isComplete(const upstream_answer& answer, const body_framing& framing, const answered_request& request)
    {
        if (framing.contradictory)
            return false;
        if (request.head || answer.status == noContent || answer.status == notModified)
            return answer.body.empty();
        if (framing.chunked)
            return true;
        if (!framing.length.has_value())
            return request.allowsCloseDelimitedBody;
        return *framing.length == answer.body.size();
    }

    bool belongsToCall(const std::vector<header_field>& fields, const answered_request& request)
    {
        bool isNamed = false;
        for (const header_field& field : fields) {
            if (!http_fields::sameName(field.name, request.nameField))
                continue;
            if (field.value != request.name)
                return false;
            isNamed = true;
        }
        return isNamed || !request.requiresName;
    }

    std::vector<header_field> copyFields(evhttp_request* answer)
    {
        std::vector<header_field> fields;
        const evkeyvalq* input = evhttp_request_get_input_headers(answer);
        for (const evkeyval* item = input->tqh_first; item != nullptr; item = item->next.tqe_next)
            fields.push_back({ item->key, item->value });
        return fields;
    }

    std::string moveBody(evhttp_request* answer)
    {
        evbuffer* input = evhttp_request_get_input_buffer(answer);
        std::string body(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, body.data(), body.size());
        return body;
    }

} // namespace

std::variant<upstream_answer, call_failure> takeCompleteAnswer(
    evhttp_request* answer, const http_answer_validator& validator, const answered_request& request)
{
    upstream_answer result;
    result.status = evhttp_request_get_response_code(answer);
    result.headers = copyFields(answer);
    if (result.status < firstFinalStatus || !validator.status().ok())
        return call_failure::Malformed;
    if (!belongsToCall(result.headers, request))
        return call_failure::OtherAnswer;
    result.body = moveBody(answer);
    if (!agrees(validator, result) || !isComplete(result, framingOf(result.headers), request))
        return call_failure::Malformed;
    const std::optional<std::size_t> length = framingOf(result.headers).length;
    http_fields::keepEndToEnd(result.headers);
    if (request.head && length)
        result.headers.push_back({ http_fields::contentLength, std::to_string(*length) });
    return result;
}

} // namespace plantainlatch
