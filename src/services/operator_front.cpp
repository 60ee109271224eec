#include "services/operator_front.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "codec/declaration_writer.h"
#include "codec/declaration_yaml.h"
#include "codec/json_codec.h"
#include "codec/json_requests.h"
#include "ports/port_names.h"
#include "services/status_answer.h"

namespace plantainlatch {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusMethodNotAllowed = 405;
    constexpr const char* fileNameField = "X-File-Name";
    const std::string backToParameter = "back_to=";
    constexpr const char* metricsType = "text/plain; version=0.0.4";

    std::string fileNameOf(const http_request_view& request)
    {
        const char* name = request.header(fileNameField);
        return name == nullptr ? "declaration" : name;
    }

    std::function<void(absl::StatusOr<command_result>)> answerWithResult(http_server& server, exchange_id exchange)
    {
        return [&server, exchange](const absl::StatusOr<command_result>& result) {
            server.respond(exchange, result.ok() ? encodeCommandResult(*result) : encodeStatus(result.status()));
        };
    }

} // namespace

std::unique_ptr<operator_front> operator_front::create(std::function<state_dump()> dump)
{
    return std::unique_ptr<operator_front>(new operator_front(std::move(dump)));
}

operator_front::operator_front(std::function<state_dump()> dump)
    : m_dump(std::move(dump))
{
}

service operator_front::asService()
{
    service item;
    item.name = "operator_front";
    item.dependencies = { http_server::serviceName, metrics::serviceName, port_names::operators };
    item.start = [this](registry& services) { return start(services); };
    return item;
}

absl::Status operator_front::start(registry& services)
{
    const absl::StatusOr<http_server*> server = services.find<http_server>(http_server::serviceName);
    const absl::StatusOr<metrics*> numbers = services.find<metrics>(metrics::serviceName);
    const absl::StatusOr<operator_port*> operators = services.find<operator_port>(port_names::operators);
    absl::Status status = server.status();
    status.Update(numbers.status());
    status.Update(operators.status());
    if (!status.ok())
        return status;
    m_server = *server;
    m_metrics = *numbers;
    m_operators = *operators;
    addPath(
        "/v1/declarations", "POST", [this](exchange_id exchange, const auto& request) { apply(exchange, request); });
    addPath("/v1/plan", "POST", [this](exchange_id exchange, const auto& request) { plan(exchange, request); });
    addPath("/v1/drains", "POST", [this](exchange_id exchange, const auto& request) { drain(exchange, request); });
    addPath("/v1/history", "GET", [this](exchange_id exchange, const auto& request) { history(exchange, request); });
    addPath("/v1/status", "GET",
        [this](exchange_id exchange, const auto&) { answerJson(exchange, encodeStatusJson(m_operators->status())); });
    addPath("/v1/dump", "GET",
        [this](exchange_id exchange, const auto&) { answerJson(exchange, encodeDumpJson(m_dump())); });
    addPath("/metrics", "GET", [this](exchange_id exchange, const auto&) {
        m_server->respond(
            exchange, encodeAnswer(statusOk, { { "Content-Type", metricsType } }, m_metrics->exposition()));
    });
    return absl::OkStatus();
}

void operator_front::addPath(const std::string& path, std::string_view method, handler answer)
{
    m_server->addRoute({ path,
        [this, path, method, answer = std::move(answer)](exchange_id exchange, const http_request_view& request) {
            if (request.path() != path) {
                m_server->respond(exchange, encodeProblem(http_problem::UnknownPath));
            } else if (request.method() != method) {
                m_server->respond(exchange,
                    encodeAnswer(statusMethodNotAllowed, { { "Allow", std::string(method) } }, std::string()));
            } else {
                answer(exchange, request);
            }
        },
        nullptr });
}

void operator_front::apply(exchange_id exchange, const http_request_view& request)
{
    finding_list findings;
    absl::StatusOr<declaration> parsed = parseDeclaration(request.body(), fileNameOf(request), findings);
    if (!parsed.ok()) {
        m_server->respond(exchange, encodeFindings("the declaration is not valid", findings));
        return;
    }
    m_operators->apply(*std::move(parsed), answerWithResult(*m_server, exchange));
}

void operator_front::plan(exchange_id exchange, const http_request_view& request)
{
    finding_list findings;
    const absl::StatusOr<declaration> parsed = parseDeclaration(request.body(), fileNameOf(request), findings);
    if (!parsed.ok()) {
        m_server->respond(exchange, encodeFindings("the declaration is not valid", findings));
        return;
    }
    answerJson(exchange, encodePlanJson(m_operators->plan(*parsed)));
}

void operator_front::drain(exchange_id exchange, const http_request_view& request)
{
    finding_list findings;
    const absl::StatusOr<drain_request> parsed = parseDrainJson(request.body(), findings);
    if (!parsed.ok()) {
        m_server->respond(exchange, encodeFindings("the drain is not valid", findings));
        return;
    }
    m_operators->drain(parsed->target, parsed->draining, parsed->force, m_server->senderCheck(exchange),
        answerWithResult(*m_server, exchange));
}

void operator_front::history(exchange_id exchange, const http_request_view& request)
{
    const std::string query(request.query());
    if (query.empty()) {
        answerJson(exchange, encodeHistoryJson(m_operators->history()));
        return;
    }
    std::uint64_t number = 0;
    if (!absl::StartsWith(query, backToParameter) || !absl::SimpleAtoi(query.substr(backToParameter.size()), &number)) {
        m_server->respond(exchange, encodeStatus(absl::InvalidArgumentError("back_to=NUMBER is expected")));
        return;
    }
    const absl::StatusOr<declaration> back = m_operators->declarationBackTo(change_number(number));
    if (back.ok())
        answerJson(exchange, encodeDeclarationTextJson(writeDeclaration(*back)));
    else
        m_server->respond(exchange, encodeStatus(back.status()));
}

void operator_front::answerJson(exchange_id exchange, std::string json)
{
    m_server->respond(exchange, encodeJsonAnswer(statusOk, std::move(json)));
}

} // namespace plantainlatch
