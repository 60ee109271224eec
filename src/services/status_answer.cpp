#include "services/status_answer.h"

#include "codec/http_fields.h"
#include "codec/json_codec.h"
#include "core/internal_assert.h"

namespace plantainlatch {

namespace {

    constexpr int statusBadRequest = 400;
    constexpr int statusUnavailable = 503;
    constexpr const char* retryAfterSeconds = "1";

    int statusOf(absl::StatusCode code)
    {
        switch (code) {
        case absl::StatusCode::kInvalidArgument:
            return statusBadRequest;
        case absl::StatusCode::kPermissionDenied:
            return 403;
        case absl::StatusCode::kNotFound:
            return 404;
        case absl::StatusCode::kUnavailable:
            return statusUnavailable;
        case absl::StatusCode::kDeadlineExceeded:
            return 504;
        default:
            return 500;
        }
    }

    int statusOf(command_verdict verdict)
    {
        switch (verdict) {
        case command_verdict::Accepted:
        case command_verdict::AlreadyAccepted:
            return 200;
        case command_verdict::Conflict:
            return 409;
        case command_verdict::Refused:
            return 422;
        }
        internal_assert(false) << "verdict " << static_cast<int>(verdict);
        return 500;
    }

} // namespace

http_answer encodeStatus(const absl::Status& status)
{
    const int code = statusOf(status.code());
    std::vector<header_field> fields { { "Content-Type", "application/json" } };
    if (code == statusUnavailable)
        fields.push_back({ http_fields::retryAfter, retryAfterSeconds });
    return encodeAnswer(code, fields, encodeErrorJson(std::string(status.message())));
}

http_answer encodeFindings(const std::string& message, const finding_list& findings)
{
    return encodeJsonAnswer(statusBadRequest, encodeErrorJson(message, findings));
}

http_answer encodeCommandResult(const command_result& result)
{
    return encodeJsonAnswer(statusOf(result.verdict), encodeCommandResultJson(result));
}

} // namespace plantainlatch
