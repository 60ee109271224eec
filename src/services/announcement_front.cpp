#include "services/announcement_front.h"

#include <charconv>

#include "codec/json_codec.h"
#include "codec/json_requests.h"
#include "ports/port_names.h"
#include "services/status_answer.h"

namespace plantainlatch {

namespace {

    constexpr const char* upstreamsPath = "/v1/upstreams";
    constexpr std::string_view generationParameter = "generation=";
    constexpr int statusOk = 200;

    std::optional<upstream_generation> generationOf(std::string_view query)
    {
        if (!query.starts_with(generationParameter))
            return std::nullopt;
        query.remove_prefix(generationParameter.size());
        std::uint64_t number = 0;
        const auto [end, error] = std::from_chars(query.data(), query.data() + query.size(), number);
        if (error != std::errc() || end != query.data() + query.size())
            return std::nullopt;
        return upstream_generation(number);
    }

} // namespace

std::unique_ptr<announcement_front> announcement_front::create()
{
    return std::unique_ptr<announcement_front>(new announcement_front);
}

service announcement_front::asService()
{
    service item;
    item.name = "announcement_front";
    item.dependencies = { http_server::serviceName, port_names::directory };
    item.start = [this](registry& services) -> absl::Status {
        const absl::StatusOr<http_server*> server = services.find<http_server>(http_server::serviceName);
        const absl::StatusOr<directory_port*> directory = services.find<directory_port>(port_names::directory);
        absl::Status status = server.status();
        status.Update(directory.status());
        if (!status.ok())
            return status;
        m_server = *server;
        m_directory = *directory;
        m_server->addRoute({ upstreamsPath,
            [this](exchange_id exchange, const http_request_view& request) { receive(exchange, request); }, nullptr });
        return absl::OkStatus();
    };
    return item;
}

void announcement_front::receive(exchange_id exchange, const http_request_view& request)
{
    const std::string_view rest = request.path().substr(std::string_view(upstreamsPath).size());
    if (rest.empty() && request.method() == "POST")
        announce(exchange, request.body());
    else if (rest.size() > 1 && rest.front() == '/' && request.method() == "DELETE")
        leave(exchange, request);
    else
        m_server->respond(exchange, encodeProblem(http_problem::UnknownPath));
}

void announcement_front::announce(exchange_id exchange, const std::string& body)
{
    finding_list findings;
    absl::StatusOr<upstream_announcement> announcement = parseAnnouncementJson(body, findings);
    if (!announcement.ok()) {
        m_server->respond(exchange, encodeFindings("the announcement is not valid", findings));
        return;
    }
    m_directory->announce(*std::move(announcement), [this, exchange](const absl::Status& status) {
        m_server->respond(exchange,
            status.ok() ? encodeJsonAnswer(statusOk, encodeRenewalJson(m_directory->renewalInterval()))
                        : encodeStatus(status));
    });
}

void announcement_front::leave(exchange_id exchange, const http_request_view& request)
{
    const std::optional<upstream_generation> generation = generationOf(request.query());
    if (!generation) {
        m_server->respond(exchange, encodeStatus(absl::InvalidArgumentError("the query must be generation=N")));
        return;
    }
    const std::string_view id = request.path().substr(std::string_view(upstreamsPath).size() + 1);
    m_directory->leave(upstream_id(std::string(id)), generation, m_server->senderCheck(exchange),
        [this, exchange](const absl::Status& status) {
            m_server->respond(exchange, status.ok() ? encodeJsonAnswer(statusOk, "{}\n") : encodeStatus(status));
        });
}

} // namespace plantainlatch
