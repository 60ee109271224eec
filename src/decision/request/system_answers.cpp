#include "decision/request/system_answers.h"

#include <utility>

#include "core/internal_assert.h"

namespace plantainlatch {

namespace {

    int statusOf(answer_reason reason)
    {
        switch (reason) {
        case answer_reason::Upstream:
            return 200;
        case answer_reason::UnknownService:
        case answer_reason::UnknownRoute:
            return 404;
        case answer_reason::UnknownCredential:
            return 401;
        case answer_reason::QuotaExceeded:
            return 429;
        case answer_reason::MalformedRequest:
            return 400;
        case answer_reason::BodyTooLarge:
            return 413;
        case answer_reason::DeadlineExceeded:
            return 504;
        case answer_reason::ConnectionLost:
            return 502;
        case answer_reason::KeyReused:
            return 422;
        case answer_reason::KeyTaken:
            return 409;
        case answer_reason::AnswerNotKept:
            return 410;
        case answer_reason::Overloaded:
        case answer_reason::NoUpstream:
        case answer_reason::CrashingRequest:
        case answer_reason::KeyUnavailable:
        case answer_reason::Draining:
        case answer_reason::NotReady:
            return 503;
        }
        internal_assert(false) << "invalid answer reason " << static_cast<int>(reason);
        return 500;
    }

    std::optional<duration> retryAfterOf(answer_reason reason)
    {
        switch (reason) {
        case answer_reason::Overloaded:
        case answer_reason::NoUpstream:
        case answer_reason::KeyUnavailable:
        case answer_reason::KeyTaken:
        case answer_reason::NotReady:
        case answer_reason::QuotaExceeded:
        case answer_reason::CrashingRequest:
            return shortRetryAfter;
        case answer_reason::Draining:
            return otherEntryRetryAfter;
        default:
            return std::nullopt;
        }
    }

} // namespace

caller_answer systemAnswer(outcome result, answer_reason reason)
{
    caller_answer answer;
    answer.result = result;
    answer.reason = reason;
    answer.content.status = statusOf(reason);
    answer.retryAfter = retryAfterOf(reason);
    return answer;
}

caller_answer upstreamAnswer(outcome result, upstream_answer content)
{
    caller_answer answer;
    answer.result = result;
    answer.reason = answer_reason::Upstream;
    answer.content = std::move(content);
    return answer;
}

caller_answer replayedAnswer(const std::optional<upstream_answer>& kept)
{
    if (!kept)
        return systemAnswer(outcome::Replayed, answer_reason::AnswerNotKept);
    return upstreamAnswer(outcome::Replayed, *kept);
}

} // namespace plantainlatch
