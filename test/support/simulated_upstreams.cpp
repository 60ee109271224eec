#include "support/simulated_upstreams.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace plantainlatch {

using namespace simulated_site;

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
    const call_name name { entry, call.id.value() };
    const duration way = oneWay(regionOfNumber(entry), regionOfUpstream(call.upstream));
    events.onDispatch();
    m_open.emplace(name, open_call { call.upstream, std::move(events), way, {} });
    m_runtime.schedule(call.timeout, [this, name] { timeOut(name); });
    m_runtime.schedule(way, [this, name, body = call.body] {
        if (m_open.contains(name))
            arrive(name, body);
    });
}

void simulated_upstreams::arrive(const call_name& name, const std::string& body)
{
    if (!body.empty())
        ++runs[body];
    open_call& call = m_open.at(name);
    const std::uint32_t running = ++m_running[call.upstream];
    const double load = static_cast<double>(running) / slotsPerUpstream;
    mostOverCapacity = std::max(mostOverCapacity, load);
    const double even = static_cast<double>(m_runtime.random() % 1'000'000 + 1) / 1'000'000;
    const double factor = std::clamp(-std::log(even), 0.2, 5.0) / meanOfClampedFactor * std::max(1.0, load);
    call.work
        = m_runtime.schedule(std::chrono::duration_cast<duration>(meanWork * factor), [this, name] { finish(name); });
}

void simulated_upstreams::finish(const call_name& name)
{
    open_call& call = m_open.at(name);
    --m_running[call.upstream];
    call.work = {};
    m_runtime.schedule(call.way, [this, name] {
        auto open = m_open.extract(name);
        if (!open.empty())
            open.mapped().events.onAnswer({ 200, {}, "answer" });
    });
}

void simulated_upstreams::timeOut(const call_name& name)
{
    const auto open = m_open.find(name);
    if (open == m_open.end())
        return;
    const call_events events = open->second.events;
    cancel(name);
    events.onFailure(call_failure::Timeout);
}

void simulated_upstreams::cancel(const call_name& name)
{
    auto open = m_open.extract(name);
    if (open.empty())
        return;
    const open_call call = open.mapped();
    if (call.work == timer_id())
        return;
    m_runtime.cancel(call.work);
    m_runtime.schedule(call.way, [this, id = call.upstream] { --m_running[id]; });
}

region_id simulated_upstreams::regionOfUpstream(const upstream_id& id)
{
    return regionOfNumber(std::strtoul(id.value().c_str() + 1, nullptr, 10));
}

} // namespace plantainlatch
