#include "services/http_answer.h"

#include <algorithm>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "codec/http_fields.h"
#include "core/internal_assert.h"

namespace plantainlatch {

namespace {

    constexpr int noContent = 204;
    constexpr int notModified = 304;
    constexpr std::size_t initialHeadCapacity = 512;
    /** After this time, a large request without progress can be closed for another one. */
    constexpr duration memoryRetryAfter = std::chrono::seconds(1);

    bool hasNoBody(int status) { return status == noContent || status == notModified; }

    void addField(std::string& head, std::string_view name, std::string_view value)
    {
        head.append(name).append(": ").append(value).append("\r\n");
    }

    std::string startHead(int status)
    {
        std::string head;
        head.reserve(initialHeadCapacity);
        head.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(statusPhrase(status));
        head.append("\r\n");
        return head;
    }

    bool namesOutcome(std::string_view name)
    {
        return http_fields::sameName(name, http_fields::outcome) || http_fields::sameName(name, http_fields::reason);
    }

    caller_answer problemAnswer(int status, answer_reason reason, std::string text)
    {
        caller_answer answer;
        answer.result = outcome::NotRun;
        answer.reason = reason;
        answer.content.status = status;
        answer.content.headers = { { "Content-Type", "text/plain" } };
        answer.content.body = std::move(text);
        return answer;
    }

} // namespace

std::string_view statusPhrase(int status)
{
    static const absl::flat_hash_map<int, std::string_view> phrases {
        { 200, "OK" },
        { 201, "Created" },
        { 202, "Accepted" },
        { 204, "No Content" },
        { 304, "Not Modified" },
        { 400, "Bad Request" },
        { 403, "Forbidden" },
        { 404, "Not Found" },
        { 405, "Method Not Allowed" },
        { 408, "Request Timeout" },
        { 409, "Conflict" },
        { 413, "Content Too Large" },
        { 422, "Unprocessable Content" },
        { 429, "Too Many Requests" },
        { 431, "Request Header Fields Too Large" },
        { 500, "Internal Server Error" },
        { 501, "Not Implemented" },
        { 502, "Bad Gateway" },
        { 503, "Service Unavailable" },
        { 504, "Gateway Timeout" },
    };
    const auto found = phrases.find(status);
    return found != phrases.end() ? found->second : "Status";
}

http_answer encodeAnswer(int status, const std::vector<header_field>& fields, std::string body)
{
    std::string head = startHead(status);
    for (const header_field& field : fields)
        addField(head, field.name, field.value);
    if (!hasNoBody(status))
        addField(head, http_fields::contentLength, std::to_string(body.size()));
    return { std::move(head), std::move(body) };
}

http_answer encodeJsonAnswer(int status, std::string json)
{
    return encodeAnswer(status, { { "Content-Type", "application/json" } }, std::move(json));
}

http_answer encodeCallerAnswer(caller_answer answer, bool head)
{
    upstream_answer& content = answer.content;
    std::string text = startHead(content.status);
    bool hasLength = false;
    for (const header_field& field : content.headers) {
        if (namesOutcome(field.name))
            continue;
        hasLength = hasLength || http_fields::sameName(field.name, http_fields::contentLength);
        addField(text, field.name, field.value);
    }
    addField(text, http_fields::outcome, outcomeName(answer.result));
    addField(text, http_fields::reason, answerReasonName(answer.reason));
    if (answer.retryAfter && http_fields::find(content.headers, http_fields::retryAfter) == nullptr) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*answer.retryAfter).count();
        addField(text, http_fields::retryAfter, std::to_string(std::max<std::int64_t>(1, seconds)));
    }
    const bool addsLength = !hasLength && !hasNoBody(content.status) && !(head && content.body.empty());
    if (addsLength)
        addField(text, http_fields::contentLength, std::to_string(content.body.size()));
    return { std::move(text), head ? shared_body() : shared_body(std::move(content.body)) };
}

http_answer encodeProblem(http_problem problem)
{
    using enum answer_reason;
    switch (problem) {
    case http_problem::Malformed:
        return encodeCallerAnswer(problemAnswer(400, MalformedRequest, "the request is not valid HTTP\n"), false);
    case http_problem::HeadersTooLarge:
        return encodeCallerAnswer(problemAnswer(431, MalformedRequest, "the header fields are too large\n"), false);
    case http_problem::BodyTooLarge:
        return encodeCallerAnswer(problemAnswer(413, BodyTooLarge, "the body is too large\n"), false);
    case http_problem::UnsupportedMethod:
        return encodeCallerAnswer(problemAnswer(501, MalformedRequest, "the method is not supported\n"), false);
    case http_problem::UnknownPath:
        return encodeCallerAnswer(problemAnswer(404, UnknownService, "nothing is served at this path\n"), false);
    case http_problem::NoMemory: {
        caller_answer answer = problemAnswer(503, Overloaded, "there is no memory for the request now\n");
        answer.retryAfter = memoryRetryAfter;
        return encodeCallerAnswer(answer, false);
    }
    case http_problem::BodyTimeout:
        return encodeCallerAnswer(problemAnswer(408, MalformedRequest, "the body did not arrive in time\n"), false);
    case http_problem::None:
        break;
    }
    internal_assert(false) << "http problem " << static_cast<int>(problem);
    return {};
}

} // namespace plantainlatch
