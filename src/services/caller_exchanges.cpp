#include "services/caller_exchanges.h"

#include <algorithm>
#include <utility>

#include "core/internal_assert.h"

namespace plantainlatch {

caller_exchanges::caller_exchanges(caller_exchange_parts parts)
    : m_parts(std::move(parts))
{
    m_parts.numbers.addGauge("plantainlatch_requests_in_flight", "Requests that wait for their answers.",
        [this] { return static_cast<double>(m_pending.size()); });
}

void caller_exchanges::submit(exchange_id exchange, caller_request request)
{
    if (m_stopDeadline) {
        const duration left = *m_stopDeadline - m_parts.hooks.now();
        request.deadline = std::min(request.deadline.value_or(left), left);
        request.stopsIn = left;
    }
    pending_request& added = m_pending[exchange];
    added.service = request.service;
    added.arrived = m_parts.hooks.now();
    added.head = request.method == "HEAD";
    const request_id id = m_parts.requests.submit(
        std::move(request), [this, exchange](caller_answer result) { answer(exchange, std::move(result)); });
    const auto waiting = m_pending.find(exchange);
    if (waiting != m_pending.end())
        waiting->second.id = id;
}

void caller_exchanges::refuse(exchange_id exchange, caller_answer answer, bool head)
{
    m_parts.server.respond(exchange, m_parts.encode(std::move(answer), head));
}

void caller_exchanges::answer(exchange_id exchange, caller_answer answer)
{
    const auto found = m_pending.find(exchange);
    internal_assert(found != m_pending.end()) << "exchange " << exchange.value() << " is answered twice";
    const pending_request request = std::move(found->second);
    m_pending.erase(found);
    const service_id& service = answer.service.empty() ? request.service : answer.service;
    m_parts.numbers.recordAnswer(
        { answer.route, service }, answer.result, answer.reason, m_parts.hooks.now() - request.arrived);
    m_parts.server.respond(exchange, m_parts.encode(std::move(answer), request.head));
    stopIfIdle();
}

void caller_exchanges::callerDisconnected(exchange_id exchange)
{
    const auto found = m_pending.find(exchange);
    if (found == m_pending.end())
        return;
    const request_id id = found->second.id;
    m_pending.erase(found);
    m_parts.numbers.recordDisconnect();
    m_parts.requests.cancel(id);
    stopIfIdle();
}

void caller_exchanges::stop(std::function<void()> stopped)
{
    m_parts.server.closeAfterAnswers();
    if (m_parts.maximumStopTime) {
        m_stopDeadline = m_parts.hooks.now() + *m_parts.maximumStopTime;
        m_parts.hooks.schedule(*m_parts.maximumStopTime, [this] { m_parts.server.closeUnfinished(); });
    }
    m_parts.hooks.schedule(m_parts.lameDuckTime, [this, stopped = std::move(stopped)] {
        m_refusing = true;
        m_stopped = stopped;
        m_parts.server.stopListening();
        stopIfIdle();
    });
}

void caller_exchanges::stopIfIdle()
{
    if (!m_refusing || !m_pending.empty() || !m_stopped)
        return;
    // Deferred to the next loop iteration, so that the last answer is written before the service has stopped.
    m_parts.hooks.schedule(duration::zero(), std::exchange(m_stopped, nullptr));
}

state_dump caller_exchanges::dump() const
{
    state_dump dump;
    dump.add("requests_in_flight", static_cast<std::uint64_t>(m_pending.size()));
    dump.add("stopping", m_refusing);
    return dump;
}

} // namespace plantainlatch
