#include "decision/request/request_log.h"

#include "absl/strings/str_cat.h"
#include "core/internal_assert.h"

namespace plantainlatch {

namespace {

    constexpr const char* serviceName = "requests";

    std::string milliseconds(duration span)
    {
        return absl::StrCat(std::chrono::duration<double, std::milli>(span).count());
    }

    std::string_view nameOf(attempt_result::kind kind)
    {
        switch (kind) {
        case attempt_result::kind::NoSlot:
            return "no-slot";
        case attempt_result::kind::NotOffered:
            return "not-offered";
        case attempt_result::kind::Revoked:
            return "revoked";
        case attempt_result::kind::Refused:
            return "refused";
        case attempt_result::kind::Shed:
            return "shed";
        case attempt_result::kind::Answered:
            return "answered";
        case attempt_result::kind::Lost:
            return "lost";
        }
        internal_assert(false) << "invalid attempt end " << static_cast<int>(kind);
        return "";
    }

    std::string_view nameOf(call_failure failure)
    {
        switch (failure) {
        case call_failure::ConnectFailed:
            return "connect-failed";
        case call_failure::ConnectionLimit:
            return "connection-limit";
        case call_failure::Lost:
            return "connection-lost";
        case call_failure::Timeout:
            return "timeout";
        case call_failure::Malformed:
            return "malformed-answer";
        case call_failure::OtherAnswer:
            return "other-answer";
        }
        internal_assert(false) << "invalid call failure " << static_cast<int>(failure);
        return "";
    }

    std::string_view nameOf(abandon_cause cause)
    {
        switch (cause) {
        case abandon_cause::Deadline:
            return "deadline";
        case abandon_cause::NoLongerNeeded:
            return "no-longer-needed";
        }
        internal_assert(false) << "invalid cause " << static_cast<int>(cause);
        return "";
    }

    std::string_view nameOf(deadline_source source)
    {
        switch (source) {
        case deadline_source::Caller:
            return "caller";
        case deadline_source::Declaration:
            return "declaration";
        case deadline_source::Stop:
            return "stop";
        }
        internal_assert(false) << "invalid deadline source " << static_cast<int>(source);
        return "";
    }

    void addAccount(std::vector<log_field>& fields, const caller_request& request)
    {
        if (!request.account.empty())
            fields.push_back({ "account", request.account.value() });
    }

    std::vector<log_field> fieldsOf(const admitted_request& request)
    {
        std::vector<log_field> fields { { "request", request.content.name }, { "route", request.policy.route.value() },
            { "upstream_service", request.content.service.value() } };
        addAccount(fields, request.content);
        return fields;
    }

    void addAnswer(std::vector<log_field>& fields, const caller_answer& answer)
    {
        fields.push_back({ "outcome", std::string(outcomeName(answer.result)) });
        fields.push_back({ "reason", std::string(answerReasonName(answer.reason)) });
        fields.push_back({ "status", absl::StrCat(answer.content.status) });
    }

} // namespace

log_event attemptBegan(
    const admitted_request& request, const held_slot& slot, const std::vector<log_field>& inputs, duration remaining)
{
    log_event event { log_level::Info, serviceName, "attempt-began", fieldsOf(request) };
    event.fields.push_back({ "upstream", slot.upstream.id.value() });
    event.fields.push_back({ "upstream_region", slot.upstream.region.value() });
    for (const log_field& input : inputs)
        event.fields.push_back(input);
    event.fields.push_back({ "left_ms", milliseconds(remaining) });
    return event;
}

log_event attemptEnded(const admitted_request& request, const attempt_result& result, duration took)
{
    log_event event { log_level::Info, serviceName, "attempt-ended", fieldsOf(request) };
    event.fields.push_back({ "upstream", result.upstream.value() });
    event.fields.push_back({ "end", std::string(nameOf(result.ended)) });
    if (result.ended == attempt_result::kind::NotOffered || result.ended == attempt_result::kind::Lost)
        event.fields.push_back({ "failure", std::string(nameOf(result.failure)) });
    if (result.ended == attempt_result::kind::NoSlot)
        event.fields.push_back({ "failure", result.refusal == slot_refusal::NoUpstream ? "no-upstream" : "no-room" });
    for (const log_field& input : result.refusalInputs)
        event.fields.push_back(input);
    if (result.answer)
        event.fields.push_back({ "status", absl::StrCat(result.answer->status) });
    event.fields.push_back({ "took_ms", milliseconds(took) });
    return event;
}

log_event attemptAbandoned(
    const admitted_request& request, const held_slot& slot, abandon_cause cause, bool dispatched, duration took)
{
    log_event event { log_level::Info, serviceName, "attempt-abandoned", fieldsOf(request) };
    event.fields.push_back({ "upstream", slot.upstream.id.value() });
    event.fields.push_back({ "failure", std::string(nameOf(cause)) });
    event.fields.push_back({ "dispatched", dispatched ? "yes" : "no" });
    event.fields.push_back({ "took_ms", milliseconds(took) });
    return event;
}

log_event requestAnswered(const admitted_request& request, const caller_answer& answer, duration took)
{
    log_event event { log_level::Info, serviceName, "request-answered", fieldsOf(request) };
    addAnswer(event.fields, answer);
    event.fields.push_back({ "took_ms", milliseconds(took) });
    event.fields.push_back({ "limit_ms", milliseconds(request.deadline - request.arrivedAt) });
    event.fields.push_back({ "limited_by", std::string(nameOf(request.limitedBy)) });
    return event;
}

log_event requestRefused(const caller_request& request, const caller_answer& answer)
{
    log_event event { log_level::Info, serviceName, "request-refused",
        { { "request", request.name }, { "host", request.host }, { "target", request.target } } };
    addAccount(event.fields, request);
    addAnswer(event.fields, answer);
    return event;
}

log_event callerLeft(const caller_request& request)
{
    log_event event { log_level::Info, serviceName, "caller-left", { { "request", request.name } } };
    addAccount(event.fields, request);
    return event;
}

} // namespace plantainlatch
