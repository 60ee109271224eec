#include "services/caller_front.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "codec/http_fields.h"
#include "core/internal_assert.h"
#include "ports/port_names.h"

namespace plantainlatch {

namespace {

    constexpr const char* servicePrefix = "/s/";
    constexpr const char* entriesPath = "/v1/entries";
    constexpr std::string_view nearParameter = "near=";
    constexpr std::size_t maximumKeyLength = 255;
    constexpr std::size_t maximumServiceNameLength = 64;
    constexpr int statusBadRequest = 400;
    constexpr int statusUnavailable = 503;
    constexpr duration drainingRetryAfter = std::chrono::seconds(1);

    bool isVisible(char character) { return character > ' ' && character <= '~'; }

    bool isKey(const std::string& text)
    {
        return !text.empty() && text.size() <= maximumKeyLength && std::all_of(text.begin(), text.end(), isVisible);
    }

    caller_answer refusal(int status, answer_reason reason, const std::string& text)
    {
        caller_answer answer;
        answer.result = outcome::NotRun;
        answer.reason = reason;
        answer.content = { status, { { "Content-Type", "text/plain" } }, text + "\n" };
        return answer;
    }

    /** The value of `near` in a query. It is not percent-decoded: names of failure domains need no escapes. */
    std::string nearOf(std::string_view query)
    {
        while (!query.empty()) {
            const std::size_t end = query.find('&');
            const std::string_view part = query.substr(0, end);
            if (part.starts_with(nearParameter))
                return std::string(part.substr(nearParameter.size()));
            if (end == std::string_view::npos)
                break;
            query.remove_prefix(end + 1);
        }
        return {};
    }

} // namespace

absl::StatusOr<caller_request> readCallerRequest(const http_request_view& request)
{
    const std::string_view path = request.path();
    const std::size_t nameStart = std::string_view(servicePrefix).size();
    const std::size_t nameEnd = std::min(path.find('/', nameStart), path.size());
    if (nameEnd == nameStart || nameEnd - nameStart > maximumServiceNameLength)
        return absl::InvalidArgumentError("the path must contain a service name of 1 to 64 bytes");
    caller_request result;
    result.service = service_id(std::string(path.substr(nameStart, nameEnd - nameStart)));
    result.method = request.method();
    result.target = nameEnd < path.size() ? request.target(nameEnd) : absl::StrCat("/", request.target(nameEnd));
    if (const char* text = request.header(http_fields::requestTimeout)) {
        result.deadline = http_fields::parseSeconds(text);
        if (!result.deadline)
            return absl::InvalidArgumentError("X-Request-Timeout must be decimal seconds above 0, up to 86400");
    }
    if (const char* text = request.header(http_fields::idempotencyKey)) {
        result.key = idempotency_key(text);
        if (!isKey(result.key->value()))
            return absl::InvalidArgumentError("Idempotency-Key must be 1 to 255 visible ASCII characters");
    }
    result.headers = request.headers();
    http_fields::keepEndToEnd(result.headers);
    result.sentFrom = request.sentFrom();
    result.body = request.takeBody();
    return result;
}

std::unique_ptr<caller_front> caller_front::create(
    const kernel_hooks& hooks, const vm_settings& settings, caller_front_options options)
{
    return std::unique_ptr<caller_front>(new caller_front(hooks, settings, options));
}

caller_front::caller_front(const kernel_hooks& hooks, const vm_settings& settings, caller_front_options options)
    : m_hooks(hooks)
    , m_self(settings.self.id)
    , m_lameDuckTime(settings.lookupCacheTime + options.listPropagation)
{
}

service caller_front::asService()
{
    service item;
    item.name = serviceName;
    item.dependencies = { http_server::serviceName, metrics::serviceName, port_names::requests, port_names::entryList };
    item.start = [this](registry& services) { return start(services); };
    item.stop = [this](std::function<void()> stopped) { stop(std::move(stopped)); };
    item.dump = [this] { return m_exchanges ? m_exchanges->dump() : state_dump(); };
    return item;
}

absl::Status caller_front::start(registry& services)
{
    const absl::StatusOr<http_server*> server = services.find<http_server>(http_server::serviceName);
    const absl::StatusOr<metrics*> numbers = services.find<metrics>(metrics::serviceName);
    const absl::StatusOr<request_port*> requests = services.find<request_port>(port_names::requests);
    const absl::StatusOr<entry_list_port*> entries = services.find<entry_list_port>(port_names::entryList);
    absl::Status status = server.status();
    status.Update(numbers.status());
    status.Update(requests.status());
    status.Update(entries.status());
    if (!status.ok())
        return status;
    m_server = *server;
    m_metrics = *numbers;
    m_entries.emplace(**entries, m_self);
    m_exchanges.emplace(caller_exchange_parts {
        m_hooks, *m_server, **requests, *m_metrics, encodeCallerAnswer, m_lameDuckTime, std::nullopt });
    m_server->addRoute({ servicePrefix,
        [this](exchange_id exchange, const http_request_view& request) { handleRequest(exchange, request); },
        [this](exchange_id exchange) { m_exchanges->callerDisconnected(exchange); } });
    m_server->addRoute({ entriesPath,
        [this](exchange_id exchange, const http_request_view& request) { handleLookup(exchange, request); }, nullptr });
    return absl::OkStatus();
}

void caller_front::handleRequest(exchange_id exchange, const http_request_view& request)
{
    if (m_exchanges->refusing()) {
        caller_answer answer = refusal(statusUnavailable, answer_reason::Draining, "this VM is shutting down");
        answer.retryAfter = drainingRetryAfter;
        m_exchanges->refuse(exchange, answer, false);
        return;
    }
    absl::StatusOr<caller_request> read = readCallerRequest(request);
    if (!read.ok()) {
        m_exchanges->refuse(exchange,
            refusal(statusBadRequest, answer_reason::MalformedRequest, std::string(read.status().message())), false);
        return;
    }
    m_exchanges->submit(exchange, *std::move(read));
}

void caller_front::handleLookup(exchange_id exchange, const http_request_view& request)
{
    if (request.path() != entriesPath || request.method() != "GET") {
        m_server->respond(exchange, encodeProblem(http_problem::UnknownPath));
        return;
    }
    m_metrics->recordLookup();
    m_server->respond(exchange, m_entries->answerFor(nearOf(request.query())));
}

void caller_front::stop(std::function<void()> stopped)
{
    m_entries->excludeSelf();
    m_exchanges->stop(std::move(stopped));
}

} // namespace plantainlatch
