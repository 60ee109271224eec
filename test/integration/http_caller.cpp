#include "integration/http_caller.h"

#include <utility>

#include "codec/http_fields.h"

namespace plantainlatch {

http_caller::http_caller()
    : m_loop(*event_loop::create(0))
    , m_hooks(m_loop->hooks([](const log_event&) {}))
    , m_client(upstream_client::create(m_loop->base(), m_hooks))
{
}

std::optional<upstream_answer> http_caller::send(const network_address& to, const test_request& request)
{
    std::optional<upstream_answer> result;
    upstream_call call;
    call.id = call_id(++m_lastCall);
    call.address = to;
    call.method = request.method;
    call.target = request.target;
    call.headers = request.headers;
    call.body = request.body;
    call.timeout = request.timeout;
    call.freshConnection = true;
    call_events events;
    events.onAnswer = [&](upstream_answer answer) {
        result = std::move(answer);
        m_loop->stop();
    };
    events.onFailure = [&](call_failure) { m_loop->stop(); };
    m_client->port().start(std::move(call), std::move(events));
    m_loop->run();
    return result;
}

std::string headerOf(const upstream_answer& answer, const std::string& name)
{
    const header_field* field = http_fields::find(answer.headers, name);
    return field != nullptr ? field->value : "";
}

} // namespace plantainlatch
