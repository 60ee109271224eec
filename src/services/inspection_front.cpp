#include "services/inspection_front.h"

#include <utility>

#include "codec/json_codec.h"

namespace plantainlatch {

namespace {

    constexpr int statusOk = 200;
    constexpr const char* metricsType = "text/plain; version=0.0.4";

} // namespace

std::unique_ptr<inspection_front> inspection_front::create(std::function<state_dump()> dump)
{
    return std::unique_ptr<inspection_front>(new inspection_front(std::move(dump)));
}

inspection_front::inspection_front(std::function<state_dump()> dump)
    : m_dump(std::move(dump))
{
}

service inspection_front::asService()
{
    service item;
    item.name = "inspection_front";
    item.dependencies = { server, metrics::serviceName };
    item.start = [this](registry& services) -> absl::Status {
        const absl::StatusOr<http_server*> found = services.find<http_server>(server);
        const absl::StatusOr<metrics*> numbers = services.find<metrics>(metrics::serviceName);
        absl::Status status = found.status();
        status.Update(numbers.status());
        if (!status.ok())
            return status;
        http_server* listening = *found;
        listening->addRoute({ "/metrics",
            [listening, exposed = *numbers](exchange_id exchange, const http_request_view&) {
                listening->respond(
                    exchange, encodeAnswer(statusOk, { { "Content-Type", metricsType } }, exposed->exposition()));
            },
            nullptr });
        listening->addRoute({ "/v1/dump",
            [this, listening](exchange_id exchange, const http_request_view&) {
                listening->respond(exchange, encodeJsonAnswer(statusOk, encodeDumpJson(m_dump())));
            },
            nullptr });
        return absl::OkStatus();
    };
    return item;
}

} // namespace plantainlatch
