#include "support/simulated_upstreams.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace plantainlatch {

using namespace simulated_deployment;

simulated_upstreams::simulated_upstreams(paused_runtime& runtime)
    : m_runtime(runtime)
{
}

upstream_port simulated_upstreams::portOf(std::size_t entry)
{
    upstream_port port;
    port.start
        = [this, entry](const upstream_call& call, call_events events) { start(entry, call, std::move(events)); };
    port.cancel = [this, entry](call_id call) { cancel({ entry, call.value() }); };
    port.poll = [](const network_address&, duration, const auto& done) { done(load_report()); };
    port.closeIdleConnections = [](const network_address&) {};
    return port;
}

void simulated_upstreams::start(std::size_t entry, const upstream_call& call, call_events events)
{
    const call_key key { entry, call.id.value() };
    const duration delay = oneWay(regionOfNumber(entry), regionOfUpstream(call.upstream));
    events.onDispatch();
    m_open.emplace(key, open_call { call.upstream, std::move(events), delay, {} });
    m_runtime.schedule(call.timeout, [this, key] { timeOut(key); });
    m_runtime.schedule(delay, [this, key, body = call.body.bytes()] {
        if (m_open.contains(key))
            arrive(key, body);
    });
}

void simulated_upstreams::arrive(const call_key& key, const std::string& body)
{
    if (!body.empty())
        ++runs[body];
    open_call& call = m_open.at(key);
    const std::uint32_t running = ++m_running[call.upstream];
    const double load = static_cast<double>(running) / slotsPerUpstream;
    maximumLoad = std::max(maximumLoad, load);
    const double uniform = static_cast<double>(m_runtime.random() % 1'000'000 + 1) / 1'000'000;
    const double factor = std::clamp(-std::log(uniform), 0.2, 5.0) / meanOfClampedFactor * std::max(1.0, load);
    call.runTimer = m_runtime.schedule(
        std::chrono::duration_cast<duration>(meanServiceTime * factor), [this, key] { finish(key); });
}

void simulated_upstreams::finish(const call_key& key)
{
    open_call& call = m_open.at(key);
    --m_running[call.upstream];
    call.runTimer = {};
    m_runtime.schedule(call.delay, [this, key] {
        auto open = m_open.extract(key);
        if (!open.empty())
            open.mapped().events.onAnswer({ 200, {}, "answer" });
    });
}

void simulated_upstreams::timeOut(const call_key& key)
{
    const auto open = m_open.find(key);
    if (open == m_open.end())
        return;
    const call_events events = open->second.events;
    cancel(key);
    events.onFailure(call_failure::Timeout);
}

void simulated_upstreams::cancel(const call_key& key)
{
    auto open = m_open.extract(key);
    if (open.empty())
        return;
    const open_call call = open.mapped();
    if (call.runTimer == timer_id())
        return;
    m_runtime.cancel(call.runTimer);
    m_runtime.schedule(call.delay, [this, id = call.upstream] { --m_running[id]; });
}

region_id simulated_upstreams::regionOfUpstream(const upstream_id& id)
{
    return regionOfNumber(std::strtoul(id.value().c_str() + 1, nullptr, 10));
}

} // namespace plantainlatch
