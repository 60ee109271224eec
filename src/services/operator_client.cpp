#include "services/operator_client.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace plantainlatch {

namespace {

    constexpr int statusBadGateway = 502;
    constexpr int statusGatewayTimeout = 504;

    std::string failureText(call_failure failure)
    {
        switch (failure) {
        case call_failure::ConnectFailed:
            return "could not be reached";
        case call_failure::ConnectionLimit:
            return "has too many connections";
        case call_failure::Lost:
            return "closed the connection without an answer";
        case call_failure::Timeout:
            return "did not answer in time";
        case call_failure::Malformed:
            return "gave an invalid answer";
        case call_failure::OtherAnswer:
            return "gave the answer to another call";
        }
        return "failed";
    }

    bool isUnavailable(int status) { return status >= statusBadGateway && status <= statusGatewayTimeout; }

} // namespace

absl::StatusOr<std::unique_ptr<operator_client>> operator_client::create(
    std::vector<network_address> entries, duration timeout)
{
    absl::StatusOr<std::unique_ptr<event_loop>> loop = event_loop::create(0);
    if (!loop.ok())
        return loop.status();
    return std::unique_ptr<operator_client>(new operator_client(*std::move(loop), std::move(entries), timeout));
}

operator_client::operator_client(
    std::unique_ptr<event_loop> loop, std::vector<network_address> entries, duration timeout)
    : m_loop(std::move(loop))
    , m_hooks(m_loop->hooks([](const log_event&) {}))
    , m_client(upstream_client::create(m_loop->base(), m_hooks))
    , m_entries(std::move(entries))
    , m_timeout(timeout)
{
}

absl::StatusOr<operator_answer> operator_client::ask(const operator_request& request)
{
    std::string failures;
    for (const network_address& entry : m_entries) {
        absl::StatusOr<operator_answer> answer = sendTo(entry, request);
        if (answer.ok() && !isUnavailable(answer->status))
            return answer;
        const std::string reason = answer.ok() ? absl::StrCat("answered ", answer->status, " ", answer->body)
                                               : std::string(answer.status().message());
        absl::StrAppend(&failures, failures.empty() ? "" : "\n", formatAddress(entry), " ", reason);
    }
    return absl::UnavailableError(failures);
}

absl::StatusOr<operator_answer> operator_client::sendTo(const network_address& entry, const operator_request& request)
{
    absl::StatusOr<operator_answer> result = absl::UnavailableError("did not answer");
    upstream_call call;
    call.id = call_id(++m_lastCall);
    call.address = entry;
    call.method = request.method;
    call.target = request.target;
    call.headers = request.headers;
    call.body = request.body;
    call.timeout = m_timeout;
    call.freshConnection = true;
    call_events events;
    events.onAnswer = [&](upstream_answer answer) {
        result = operator_answer { answer.status, std::move(answer.body), entry };
        m_loop->stop();
    };
    events.onFailure = [&](call_failure failure) {
        result = absl::UnavailableError(failureText(failure));
        m_loop->stop();
    };
    m_client->port().start(std::move(call), std::move(events));
    m_loop->run();
    return result;
}

} // namespace plantainlatch
