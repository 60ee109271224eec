#include "services/http_answer_check.h"

#include <optional>
#include <utility>

#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include "codec/http_fields.h"

namespace plantainlatch {

namespace {

    constexpr int firstFinalStatus = 200;

    bool agrees(const http_answer_validator& validator, const upstream_answer& answer)
    {
        return validator.isComplete() && validator.code() == answer.status
            && validator.bodyBytes() == answer.body.size();
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

} // namespace

std::variant<upstream_answer, call_failure> takeCompleteAnswer(
    evhttp_request* answer, std::string body, const http_answer_validator& validator, const answered_request& request)
{
    upstream_answer result;
    result.status = evhttp_request_get_response_code(answer);
    result.headers = copyFields(answer);
    if (result.status < firstFinalStatus || !validator.status().ok())
        return call_failure::Malformed;
    if (!belongsToCall(result.headers, request))
        return call_failure::OtherAnswer;
    result.body = std::move(body);
    const bool hasAllowedEnd = request.allowsCloseDelimitedBody || !validator.isDelimitedByClose();
    if (!agrees(validator, result) || !hasAllowedEnd)
        return call_failure::Malformed;
    const header_field* found = http_fields::find(result.headers, http_fields::contentLength);
    const std::optional<header_field> length = found != nullptr ? std::optional(*found) : std::nullopt;
    http_fields::keepEndToEnd(result.headers);
    if (request.head && length)
        result.headers.push_back(*length);
    return result;
}

} // namespace plantainlatch
