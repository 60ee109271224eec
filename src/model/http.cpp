#include "model/http.h"

#include "core/internal_assert.h"

namespace plantainlatch {

std::string_view answerReasonName(answer_reason value)
{
    switch (value) {
    case answer_reason::Upstream:
        return "upstream";
    case answer_reason::UnknownService:
        return "unknown-service";
    case answer_reason::UnknownRoute:
        return "unknown-route";
    case answer_reason::MalformedRequest:
        return "malformed-request";
    case answer_reason::BodyTooLarge:
        return "body-too-large";
    case answer_reason::Overloaded:
        return "overloaded";
    case answer_reason::NoUpstream:
        return "no-upstream";
    case answer_reason::DeadlineExceeded:
        return "deadline-exceeded";
    case answer_reason::ConnectionLost:
        return "connection-lost";
    case answer_reason::CrashingRequest:
        return "crashing-request";
    case answer_reason::KeyReused:
        return "key-reused";
    case answer_reason::KeyUnavailable:
        return "key-unavailable";
    case answer_reason::KeyTaken:
        return "key-taken";
    case answer_reason::Draining:
        return "draining";
    case answer_reason::AnswerNotKept:
        return "answer-not-kept";
    case answer_reason::NotReady:
        return "not-ready";
    case answer_reason::UnknownCredential:
        return "unknown-credential";
    case answer_reason::QuotaExceeded:
        return "quota-exceeded";
    }
    internal_assert(false) << "answer reason " << static_cast<int>(value);
    return "unknown";
}

} // namespace plantainlatch
